//! Checks the limits of one route and class: the settings against each other and against the installation's ceilings.

use crate::Micros;
use crate::limits::Ceilings;
use crate::limits::plan::{ClassInfo, Limits, MAX_ATTEMPTS, Origin, Sourced};
use crate::limits::units::Span;
use crate::ops::Finding;

/// Finds conflicts in the limits of one route and class; each finding names all the settings that cause it.
pub fn find_conflicts(limits: &Limits, ceilings: &Ceilings, class: Option<&ClassInfo>) -> Vec<Finding> {
    let max_wait = class.map(|class| class.max_wait).filter(|max_wait| *max_wait > 0);
    let attempt_timeout = max_wait.and_then(|max_wait| limits.time_out.value.map(|t| t.resolve(max_wait)));
    let mut check = Combination { limits, ceilings, class, max_wait, attempt_timeout, findings: Vec::new() };
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
    /// How long callers of the class wait, if known.
    max_wait: Option<Micros>,
    /// How long an attempt may take, if set and `max_wait` is known.
    attempt_timeout: Option<Micros>,
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
        let text = format!("{attempts} attempts, but {by} {allowed} at most");
        let remedy = format!("write {allowed} or less");
        let cause = (&self.limits.attempts.from, "attempts", String::new());
        self.findings.extend(finding("attempts", text, &remedy, &[cause]));
    }

    fn check_pauses(&mut self) {
        let required = self.ceilings.min_pause();
        let has_release_wait = self.ceilings.release_wait > 0;
        let by = if has_release_wait { "the installation's release wait" } else { "the minimum pause" };
        for (pause, setting) in pauses(self.limits) {
            if pause.value >= required {
                continue;
            }
            let text = format!("a pause of {} is shorter than {by} of {}", span(pause.value), span(required));
            let remedy = format!("write \"{}\" or more", span(required));
            let cause = (&pause.from, setting, String::new());
            self.findings.extend(finding("pause", text, &remedy, &[cause]));
        }
    }

    fn check_time_out(&mut self) {
        let (Some(max_wait), Some(timeout)) = (self.max_wait, self.attempt_timeout) else { return };
        if timeout <= max_wait {
            return;
        }
        let text = format!(
            "an attempt of {} is longer than the caller's patience of {}",
            span(timeout),
            span(max_wait)
        );
        let remedy = format!("write \"{}\" or less", span(max_wait));
        let cause = (&self.limits.time_out.from, "time_out", String::new());
        self.findings.extend(finding("outlasts", text, &remedy, &[cause]));
    }

    /// Checks that all attempts fit into the time that the caller waits.
    fn check_total_time(&mut self) {
        let attempts = self.limits.attempts.value;
        let Some(max_wait) = self.max_wait else { return };
        if attempts <= 1 || attempts > self.ceilings.max_attempts() {
            return;
        }
        let earliest = attempt_start(self.limits, attempts, Timing::Earliest);
        if earliest >= max_wait {
            self.report_never_tried(earliest, max_wait);
            return;
        }
        let Some(timeout) = self.attempt_timeout else { return };
        let end = attempt_start(self.limits, attempts, Timing::Latest(timeout)).saturating_add(timeout);
        if end > max_wait {
            self.report_cut_short(end, max_wait);
        }
    }

    fn report_never_tried(&mut self, earliest: Micros, max_wait: Micros) {
        let text = format!(
            "attempt {} can never happen: it starts {} after the first at the earliest, and the caller waits {}",
            self.limits.attempts.value,
            span(earliest),
            span(max_wait)
        );
        let remedy = "write fewer attempts or shorter pauses";
        let causes = self.causes_of_duration("attempts");
        self.findings.extend(finding("never-tried", text, remedy, &causes));
    }

    fn report_cut_short(&mut self, end: Micros, max_wait: Micros) {
        let text = format!(
            "if every attempt times out, {} attempts and their pauses take {}, and the caller waits {}: the last are cut short",
            self.limits.attempts.value,
            span(end),
            span(max_wait)
        );
        let remedy = "write fewer attempts, or a shorter time_out";
        let causes = self.causes_of_duration("time_out");
        self.findings.extend(finding("cut-short", text, remedy, &causes).map(Finding::warning));
    }

    /// The settings that determine the total time of all attempts, `main` first.
    fn causes_of_duration(&self, main: &str) -> Vec<Cause<'a>> {
        let limits = self.limits;
        let attempts = format!("{} attempts", limits.attempts.value);
        let mut causes = vec![(&limits.attempts.from, "attempts", attempts)];
        for (pause, setting) in pauses(limits).into_iter().chain([(&limits.full, "pause.full")]) {
            causes.push((&pause.from, setting, format!("a pause of {}", span(pause.value))));
        }
        causes.push((&limits.back_off.from, "back_off", "increases with each attempt".to_string()));
        if limits.time_out.value.is_some() {
            causes.push((&limits.time_out.from, "time_out", "the time of one attempt".to_string()));
        }
        causes.sort_by_key(|(_, setting, _)| *setting != main);
        causes
    }

    fn check_second_copies(&mut self) {
        let Some(after) = self.limits.second_copies.value else { return };
        let Some(at) = self.limits.second_copies.from.path("second_copies") else { return };
        let remedy = "leave second_copies out";
        let text = "this version sends no second copies: the setting is checked but has no effect";
        self.findings.push(Finding::error("no-effect", at.clone(), text, remedy).warning());
        if self.ceilings.second_copies == Some(false) {
            let text = "second copies, but the installation forbids two attempts at once";
            self.findings.push(Finding::error("second-copies", at.clone(), text, remedy));
        }
        if let Some(class) = self.class.filter(|class| !class.is_idempotent) {
            let text = format!("second copies, but set-ups of class '{}' may not be repeated", class.name);
            self.findings.push(Finding::error("second-copies", at.clone(), text, remedy));
        }
        let conflict = |text: String, other: &Origin, setting: &str, what: &str| {
            let finding = Finding::error("second-copies", at.key("after"), text, remedy);
            other.path(setting).into_iter().fold(finding, |finding, place| finding.with(place, what))
        };
        if self.limits.attempts.value < 2 {
            let text = "a second copy is a second attempt, but there is only one".to_string();
            self.findings.push(conflict(text, &self.limits.attempts.from, "attempts", "one attempt"));
        }
        if let Some(timeout) = self.attempt_timeout.filter(|timeout| after >= *timeout) {
            let text = format!(
                "the second copy would be sent after the first try has ended, which takes {}",
                span(timeout)
            );
            let from = &self.limits.time_out.from;
            self.findings.push(conflict(text, from, "time_out", "the first attempt ends here"));
        }
    }

    fn check_retry_after(&mut self) {
        let max_honoured = self.ceilings.max_retry_after;
        let Some(bounds) = self.limits.retry_after.value else { return };
        if max_honoured == 0 || bounds.least.0 <= max_honoured {
            return;
        }
        let Some(at) = self.limits.retry_after.from.path("come_back.least") else { return };
        let text = format!("callers ignore a retry-after over {}", span(max_honoured));
        self.findings.push(Finding::error("advice", at, text, "write a shorter one").warning());
    }
}

/// A finding placed at the first of its causes that is set in the file; `None` if none is.
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

/// Assumption about the attempts that precede one.
#[derive(Clone, Copy)]
enum Timing {
    /// Each ends as soon as it starts, with the outcome that has the shortest pause.
    Earliest,
    /// Each times out after this time.
    Latest(Micros),
}

/// When attempt `number` of a call, counted from 1, starts, relative to the first.
fn attempt_start(limits: &Limits, number: u32, timing: Timing) -> Micros {
    (1..number).fold(0, |at: Micros, attempts| {
        let back_off = limits.max_back_off(attempts);
        let gap = match timing {
            Timing::Earliest => {
                let shortest = pauses(limits).iter().map(|(p, _)| p.value).chain([limits.full.value]).min();
                shortest.unwrap_or(0) + (back_off as f64 * (1.0 - limits.jitter())) as Micros
            }
            Timing::Latest(timeout) => {
                timeout.saturating_add(limits.timed_out.value).saturating_add(back_off)
            }
        };
        at.saturating_add(gap)
    })
}

/// The pauses that must be at least the release wait.
fn pauses(limits: &Limits) -> [(&Sourced<Micros>, &'static str); 3] {
    [
        (&limits.timed_out, "pause.timed_out"),
        (&limits.reset, "pause.reset"),
        (&limits.cancelled, "pause.cancelled"),
    ]
}
