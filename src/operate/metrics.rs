//! Renders the metrics in the Prometheus text format. No I/O. Scrapers and dashboards depend on the metric names.

use std::fmt::Write as _;

use crate::gateway::ClassCounters;

/// Prefix of all metric names.
const PREFIX: &str = "edge_lb";

/// The metrics of one frontend at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// The counters of each class, with the name of the class.
    pub classes: Vec<(String, ClassCounters)>,
    /// Calls that were accepted and have not ended.
    pub in_flight: usize,
    /// Setup servers in the endpoint list.
    pub servers_known: usize,
    /// Listed setup servers that currently get no new calls.
    pub servers_excluded: usize,
    /// Seconds since the resolver last returned an endpoint list.
    pub list_age_s: usize,
}

impl Metrics {
    /// Adds the metrics of another frontend. The counters of a class that both have are summed; the age of the list is
    /// the greater of the two.
    pub fn add(&mut self, other: Metrics) {
        for (name, counters) in other.classes {
            match self.classes.iter_mut().find(|(own_name, _)| *own_name == name) {
                Some((_, sum)) => sum.add(&counters),
                None => self.classes.push((name, counters)),
            }
        }
        self.in_flight += other.in_flight;
        self.servers_known += other.servers_known;
        self.servers_excluded += other.servers_excluded;
        self.list_age_s = self.list_age_s.max(other.list_age_s);
    }

    /// Renders all metrics.
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

/// Escapes a label value: an unescaped backslash, quote or newline would break the line's syntax.
fn escape_label(label: &str) -> String {
    label.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

#[cfg(test)]
mod tests;
