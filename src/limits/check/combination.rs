//! Checks of what holds for one route and class: the settings together, against what the installation allows.

use crate::Micros;
use crate::limits::Ceilings;
use crate::limits::plan::{ClassInfo, Limits, MAX_ATTEMPTS, Origin, Sourced};
use crate::limits::units::Span;
use crate::ops::Finding;

/// The faults of what holds for one route and class; each names all settings that cause it.
pub fn faults(limits: &Limits, ceilings: &Ceilings, class: Option<&ClassInfo>) -> Vec<Finding> {
    let patience = class.map(|class| class.patience).filter(|patience| *patience > 0);
    let time_out = patience.and_then(|patience| limits.time_out.value.map(|t| t.of(patience)));
    let mut check = Combination { limits, ceilings, class, patience, time_out, findings: Vec::new() };
    check.check_attempts();
    check.check_pauses();
    check.check_time_out();
    check.check_total_time();
    check.check_second_copies();
    check.check_retry_after();
    check.findings
}

/// A setting that a finding is about: where its value comes from, its key, and what it contributes.
type Cause<'a> = (&'a Origin, &'a str, String);

struct Combination<'a> {
    limits: &'a Limits,
    ceilings: &'a Ceilings,
    class: Option<&'a ClassInfo>,
    /// How long callers of the class wait, if that is known.
    patience: Option<Micros>,
    /// How long an attempt may take, if that and the patience are known.
    time_out: Option<Micros>,
    findings: Vec<Finding>,
}

impl<'a> Combination<'a> {
    fn check_attempts(&mut self) {
        let attempts = self.limits.attempts.value;
        let allowed = self.ceilings.max_attempts();
        if attempts <= allowed {
            return;
        }
        let is_platform_limit = self.ceilings.attempts > 0 && self.ceilings.attempts < MAX_ATTEMPTS;
        let by = if is_platform_limit { "the platform allows" } else { "a call may have" };
        let text = format!("{attempts} attempts, and {by} {allowed} at most");
        let remedy = format!("write {allowed} or less");
        let cause = (&self.limits.attempts.from, "attempts", String::new());
        self.findings.extend(finding("attempts", text, &remedy, &[cause]));
    }

    fn check_pauses(&mut self) {
        let required = self.ceilings.min_pause();
        let has_release_wait = self.ceilings.release_wait > 0;
        let by = if has_release_wait { "the installation's release wait" } else { "the rule" };
        for (pause, setting) in pauses(self.limits) {
            if pause.value >= required {
                continue;
            }
            let text = format!("a pause of {} where {by} asks for {}", span(pause.value), span(required));
            let remedy = format!("write \"{}\" or more", span(required));
            let cause = (&pause.from, setting, String::new());
            self.findings.extend(finding("pause", text, &remedy, &[cause]));
        }
    }

    fn check_time_out(&mut self) {
        let (Some(patience), Some(time_out)) = (self.patience, self.time_out) else { return };
        if time_out <= patience {
            return;
        }
        let text =
            format!("a try of {} outlasts the caller's patience of {}", span(time_out), span(patience));
        let remedy = format!("write \"{}\" or less", span(patience));
        let cause = (&self.limits.time_out.from, "time_out", String::new());
        self.findings.extend(finding("outlasts", text, &remedy, &[cause]));
    }

    /// Checks whether all attempts fit into the caller's patience.
    fn check_total_time(&mut self) {
        let attempts = self.limits.attempts.value;
        let Some(patience) = self.patience else { return };
        if attempts <= 1 || attempts > self.ceilings.max_attempts() {
            return;
        }
        let soonest = first_start(self.limits, attempts, Pace::Soonest);
        if soonest >= patience {
            self.report_never_tried(soonest, patience);
            return;
        }
        let Some(time_out) = self.time_out else { return };
        let end = first_start(self.limits, attempts, Pace::Latest(time_out)).saturating_add(time_out);
        if end > patience {
            self.report_cut_short(end, patience);
        }
    }

    fn report_never_tried(&mut self, soonest: Micros, patience: Micros) {
        let text = format!(
            "attempt {} can never happen: it could begin {} after the first at the soonest, and the caller waits {}",
            self.limits.attempts.value,
            span(soonest),
            span(patience)
        );
        let remedy = "write fewer attempts or shorter pauses";
        let causes = self.causes_of_duration("attempts");
        self.findings.extend(finding("never-tried", text, remedy, &causes));
    }

    fn report_cut_short(&mut self, end: Micros, patience: Micros) {
        let text = format!(
            "where each try times out, {} tries and their pauses take {}, and the caller waits {}: the last are cut short",
            self.limits.attempts.value,
            span(end),
            span(patience)
        );
        let remedy = "write fewer attempts, or a shorter time_out";
        let causes = self.causes_of_duration("time_out");
        self.findings.extend(finding("cut-short", text, remedy, &causes).map(Finding::warning));
    }

    /// The settings that decide how long all attempts take, `main` first.
    fn causes_of_duration(&self, main: &str) -> Vec<Cause<'a>> {
        let limits = self.limits;
        let attempts = format!("{} attempts", limits.attempts.value);
        let mut causes = vec![(&limits.attempts.from, "attempts", attempts)];
        for (pause, setting) in pauses(limits).into_iter().chain([(&limits.full, "pause.full")]) {
            causes.push((&pause.from, setting, format!("a pause of {}", span(pause.value))));
        }
        causes.push((&limits.back_off.from, "back_off", "grows from try to try".to_string()));
        if limits.time_out.value.is_some() {
            causes.push((&limits.time_out.from, "time_out", "the time of a try".to_string()));
        }
        causes.sort_by_key(|(_, setting, _)| *setting != main);
        causes
    }

    fn check_second_copies(&mut self) {
        let Some(after) = self.limits.second_copies.value else { return };
        let Some(at) = self.limits.second_copies.from.path("second_copies") else { return };
        let remedy = "leave second_copies out";
        let text = "this version sends no second copies: the setting is checked and has no effect";
        self.findings.push(Finding::error("no-effect", at.clone(), text, remedy).warning());
        if self.ceilings.second_copies == Some(false) {
            let text = "second copies, where the installation forbids two attempts at once";
            self.findings.push(Finding::error("second-copies", at.clone(), text, remedy));
        }
        if let Some(class) = self.class.filter(|class| !class.repeatable) {
            let text = format!("second copies, and set-ups of class '{}' may not be repeated", class.name);
            self.findings.push(Finding::error("second-copies", at.clone(), text, remedy));
        }
        let conflict = |text: String, other: &Origin, setting: &str, what: &str| {
            let finding = Finding::error("second-copies", at.key("after"), text, remedy);
            other.path(setting).into_iter().fold(finding, |finding, place| finding.with(place, what))
        };
        if self.limits.attempts.value < 2 {
            let text = "a second copy is a second attempt, and there is only one".to_string();
            self.findings.push(conflict(text, &self.limits.attempts.from, "attempts", "one attempt"));
        }
        if let Some(time_out) = self.time_out.filter(|time_out| after >= *time_out) {
            let text = format!(
                "the second copy would go out after the first try has ended, which takes {}",
                span(time_out)
            );
            let from = &self.limits.time_out.from;
            self.findings.push(conflict(text, from, "time_out", "the first try ends here"));
        }
    }

    fn check_retry_after(&mut self) {
        let heeded = self.ceilings.max_retry_after;
        let Some(advice) = self.limits.retry_after.value else { return };
        if heeded == 0 || advice.least.0 <= heeded {
            return;
        }
        let Some(at) = self.limits.retry_after.from.path("come_back.least") else { return };
        let text = format!("callers heed no advice over {}", span(heeded));
        self.findings.push(Finding::error("advice", at, text, "write less").warning());
    }
}

/// A finding at the first of its causes that stands in the file; `None` if none does.
fn finding(rule: &'static str, text: String, remedy: &str, causes: &[Cause]) -> Option<Finding> {
    let place = |(from, setting, what): &Cause| Some((from.path(setting)?, what.clone()));
    let mut places = causes.iter().filter_map(place);
    let (first, _) = places.next()?;
    let finding = Finding::error(rule, first, text, remedy);
    Some(places.fold(finding, |finding, (place, what)| finding.with(place, what)))
}

fn span(micros: Micros) -> String {
    Span(micros).to_string()
}

/// How the attempts before one go.
#[derive(Clone, Copy)]
enum Pace {
    /// Each ends the moment it begins, in the way whose pause is shortest.
    Soonest,
    /// Each takes this long and times out.
    Latest(Micros),
}

/// When a call's attempt of this number, from 1, begins, counted from its first.
fn first_start(limits: &Limits, number: u32, pace: Pace) -> Micros {
    (1..number).fold(0, |at: Micros, tries| {
        let grown = limits.max_back_off(tries);
        let gap = match pace {
            Pace::Soonest => {
                let shortest = pauses(limits).iter().map(|(p, _)| p.value).chain([limits.full.value]).min();
                shortest.unwrap_or(0) + (grown as f64 * (1.0 - limits.jitter())) as Micros
            }
            Pace::Latest(time_out) => time_out.saturating_add(limits.timed_out.value).saturating_add(grown),
        };
        at.saturating_add(gap)
    })
}

/// The pauses that must cover the release wait.
fn pauses(limits: &Limits) -> [(&Sourced<Micros>, &'static str); 3] {
    [
        (&limits.timed_out, "pause.timed_out"),
        (&limits.reset, "pause.reset"),
        (&limits.cancelled, "pause.cancelled"),
    ]
}
