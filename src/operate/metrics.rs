//! The metrics as operators' scrapers read them: one line each, in the Prometheus text format. No I/O. The names are an interface.

use std::fmt::Write as _;

use crate::gateway::ClassCounters;

/// What every metric's name begins with.
const PREFIX: &str = "edge_lb";

/// What one frontend's core says of itself at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Counters by class, with the class's name.
    pub classes: Vec<(String, ClassCounters)>,
    /// Calls taken and not yet ended.
    pub in_flight: usize,
    /// Setup servers in the list.
    pub servers_known: usize,
    /// Those of them that get no new calls now.
    pub servers_excluded: usize,
    /// For how many seconds the resolver has answered with no list.
    pub list_age_s: usize,
}

impl Metrics {
    /// Adds another frontend's; a class that both have is counted together.
    pub fn add(&mut self, other: Metrics) {
        for (name, counters) in other.classes {
            match self.classes.iter_mut().find(|(known, _)| *known == name) {
                Some((_, sum)) => sum.add(&counters),
                None => self.classes.push((name, counters)),
            }
        }
        self.in_flight += other.in_flight;
        self.servers_known += other.servers_known;
        self.servers_excluded += other.servers_excluded;
        self.list_age_s = self.list_age_s.max(other.list_age_s);
    }

    /// The text that a scraper reads.
    pub fn render(&self) -> String {
        let mut text = String::new();
        self.render_counters(&mut text);
        self.render_gauges(&mut text);
        text
    }

    fn render_counters(&self, text: &mut String) {
        type Value = fn(&ClassCounters) -> u64;
        let counters: [(&str, &str, Value); 4] = [
            ("served_total", "Calls that were set up.", |counters| counters.served),
            ("refused_total", "Calls that were turned away.", |counters| counters.rejected),
            ("failed_total", "Calls that failed.", |counters| counters.failed),
            ("attempts_total", "Set-ups written whole to setup servers.", |counters| counters.attempts),
        ];
        for (name, help, value) in counters {
            let _ = writeln!(text, "# HELP {PREFIX}_{name} {help}\n# TYPE {PREFIX}_{name} counter");
            for (class, counters) in &self.classes {
                let label = escape_label(class);
                let _ = writeln!(text, "{PREFIX}_{name}{{class=\"{label}\"}} {}", value(counters));
            }
        }
    }

    fn render_gauges(&self, text: &mut String) {
        let gauges = [
            ("in_flight", "Calls taken and not yet ended.", self.in_flight),
            ("setup_servers_known", "Setup servers in the list.", self.servers_known),
            ("setup_servers_excluded", "Listed setup servers that get nothing now.", self.servers_excluded),
            ("list_silent_seconds", "For how long the resolver has told no list.", self.list_age_s),
        ];
        for (name, help, value) in gauges {
            let _ = writeln!(text, "# HELP {PREFIX}_{name} {help}\n# TYPE {PREFIX}_{name} gauge");
            let _ = writeln!(text, "{PREFIX}_{name} {value}");
        }
    }
}

/// A label's value: a backslash, a quote or a line end in it would end the label or the line.
fn escape_label(label: &str) -> String {
    label.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

#[cfg(test)]
mod tests;
