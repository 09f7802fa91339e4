//! Checks each setting of one level on its own.

use super::Findings;
use crate::limits::file::LimitSettings;
use crate::limits::units::Span;
use crate::ops::{Finding, Path};

/// The highest rate that may be set, in calls per second.
const MAX_RATE: f64 = 1e6;
/// The shortest window of a retry budget, in microseconds.
const MIN_BUDGET_WINDOW: u64 = 1_000_000;
/// The largest factor of a back-off.
const MAX_BACK_OFF_FACTOR: f64 = 16.0;
/// A waiting time, in microseconds, long enough that a percentage of it above 0% does not round to zero.
const LONG_WAIT: u64 = 1_000_000_000;

/// Checks the settings of the level at `at`.
pub(super) fn check_level(settings: &LimitSettings, at: &Path, findings: &mut Findings) {
    check_counts(settings, at, findings);
    check_rate(settings, &at.key("rate"), findings);
    check_retry_budget(settings, &at.key("retry_budget"), findings);
    check_back_off(settings, &at.key("back_off"), findings);
    check_retry_after(settings, &at.key("come_back"), findings);
    check_second_copies(settings, &at.key("second_copies"), findings);
}

fn report_zero(findings: &mut Findings, at: Path, text: &str, remedy: &str) {
    findings.add(Finding::error("zero", at, text, remedy));
}

fn check_counts(settings: &LimitSettings, at: &Path, findings: &mut Findings) {
    if settings.time_out.is_some_and(|time_out| time_out.resolve(LONG_WAIT) == 0) {
        let text = "an attempt of no time can never be answered";
        report_zero(findings, at.key("time_out"), text, "write how long an attempt may take");
    }
    if settings.attempts == Some(0) {
        report_zero(findings, at.key("attempts"), "with no attempts no call is ever set up", "write 1 to 4");
    }
    if settings.open_calls == Some(0) {
        let text = "with no open calls every call is rejected";
        report_zero(findings, at.key("open_calls"), text, "write 1 or more");
    }
}

fn check_rate(settings: &LimitSettings, at: &Path, findings: &mut Findings) {
    let Some(rate) = settings.rate else { return };
    let per_second = at.key("per_second");
    if !(rate.per_second.is_finite() && rate.per_second > 0.0) {
        let text = "a bucket that never fills rejects every call";
        report_zero(findings, per_second.clone(), text, "write more than 0");
    }
    if rate.per_second > MAX_RATE {
        report_zero(
            findings,
            per_second,
            "no gatekeeper can accept that many set-ups per second",
            "write 1000000 or less",
        );
    }
    if rate.burst == Some(0) {
        report_zero(
            findings,
            at.key("burst"),
            "a bucket that holds nothing rejects every call",
            "write 1 or more",
        );
    }
}

fn check_retry_budget(settings: &LimitSettings, at: &Path, findings: &mut Findings) {
    let Some(budget) = settings.retry_budget else { return };
    if budget.share.0 <= 0.0 {
        let remedy = "write \"attempts: 1\" for no repeats, or a share over 0%";
        report_zero(findings, at.key("share"), "a budget of 0% allows no repeats", remedy);
    }
    if budget.window.0 < MIN_BUDGET_WINDOW {
        let text = "a window under a second covers too few calls to count";
        report_zero(findings, at.key("window"), text, "write \"1s\" or more");
    }
}

fn check_back_off(settings: &LimitSettings, at: &Path, findings: &mut Findings) {
    let Some(back_off) = settings.back_off else { return };
    if back_off.first > back_off.most {
        let text = "the first pause is longer than the longest";
        let finding = Finding::error("order", at.key("first"), text, "swap them");
        findings.add(finding.with(at.key("most"), "the longest"));
    }
    if !(back_off.factor.is_finite() && (1.0..=MAX_BACK_OFF_FACTOR).contains(&back_off.factor)) {
        let text = "a factor under 1 would shorten the pauses, and one over 16 is of no use";
        findings.add(Finding::error("factor", at.key("factor"), text, "write 1 to 16"));
    }
    if back_off.jitter.0 > 1.0 {
        let text = "no more than all of the pause can be random";
        findings.add(Finding::error("jitter", at.key("jitter"), text, "write \"100%\" or less"));
    }
}

fn check_retry_after(settings: &LimitSettings, at: &Path, findings: &mut Findings) {
    let Some(bounds) = settings.retry_after.filter(|bounds| bounds.least > bounds.most) else { return };
    let text = format!("the least retry-after, {}, is longer than the most, {}", bounds.least, bounds.most);
    let finding = Finding::error("order", at.key("least"), text, "swap them");
    findings.add(finding.with(at.key("most"), "the most"));
}

fn check_second_copies(settings: &LimitSettings, at: &Path, findings: &mut Findings) {
    if settings.second_copies.is_some_and(|copies| copies.after == Span(0)) {
        let text = "a second copy sent at once is not a second copy";
        report_zero(findings, at.key("after"), text, "write how long the first attempt has");
    }
}
