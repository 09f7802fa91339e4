//! The figures as the operators read them: one line each, in the text form that scrapers know. No I/O.

use std::fmt::Write as _;

use crate::gateway::ClassCounters;

/// What every figure's name begins with.
const PREFIX: &str = "edge_lb";

/// What one front's core says of itself at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Counters by class, with the class's name.
    pub classes: Vec<(String, ClassCounters)>,
    /// Calls taken and not yet ended.
    pub in_flight: usize,
    /// Setup servers in the list.
    pub servers_known: usize,
    /// Those of them that get nothing now.
    pub servers_excluded: usize,
    /// For how many seconds the resolver has told no list.
    pub list_silent_s: usize,
}

impl Figures {
    /// Adds another front's; a class that both have is counted together.
    pub fn add(&mut self, other: Figures) {
        for (name, counts) in other.classes {
            match self.classes.iter_mut().find(|(n, _)| *n == name) {
                Some((_, held)) => held.add(&counts),
                None => self.classes.push((name, counts)),
            }
        }
        self.in_flight += other.in_flight;
        self.servers_known += other.servers_known;
        self.servers_excluded += other.servers_excluded;
        self.list_silent_s = self.list_silent_s.max(other.list_silent_s);
    }

    /// The text that a scraper reads.
    pub fn render(&self) -> String {
        type Of = fn(&ClassCounters) -> u64;
        let by_class: [(&str, &str, Of); 4] = [
            ("served_total", "Calls that were set up.", |c| c.served),
            ("refused_total", "Calls that were turned away.", |c| c.rejected),
            ("failed_total", "Calls that failed.", |c| c.failed),
            ("attempts_total", "Set-ups written whole to setup servers.", |c| c.attempts),
        ];
        let gauges = [
            ("in_flight", "Calls taken and not yet ended.", self.in_flight),
            ("setup_servers_known", "Setup servers in the list.", self.servers_known),
            ("setup_servers_excluded", "Listed setup servers that get nothing now.", self.servers_excluded),
            ("list_silent_seconds", "For how long the resolver has told no list.", self.list_silent_s),
        ];
        let mut text = String::new();
        for (name, help, of) in by_class {
            let _ = writeln!(text, "# HELP {PREFIX}_{name} {help}\n# TYPE {PREFIX}_{name} counter");
            for (class, counts) in &self.classes {
                let _ = writeln!(text, "{PREFIX}_{name}{{class=\"{}\"}} {}", escaped(class), of(counts));
            }
        }
        for (name, help, value) in gauges {
            let _ = writeln!(
                text,
                "# HELP {PREFIX}_{name} {help}\n# TYPE {PREFIX}_{name} gauge\n{PREFIX}_{name} {value}"
            );
        }
        text
    }
}

/// A label's value: a backslash, a quote or a line end in it would end the label or the line.
fn escaped(label: &str) -> String {
    label.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

#[cfg(test)]
mod tests;
