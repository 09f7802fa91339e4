//! Checks of the settings of one level, each on its own.

use super::Found;
use crate::limits::file::Terms;
use crate::limits::units::Span;
use crate::ops::{Finding, Path};

/// The highest rate that a setting may ask for, in calls a second.
const MAX_RATE: f64 = 1e6;
/// The shortest window of a retry budget.
const MIN_BUDGET_WINDOW: u64 = 1_000_000;
/// The largest factor of a back-off.
const MAX_BACK_OFF_FACTOR: f64 = 16.0;
/// A deadline long enough that no share of it is zero by rounding.
const LONG_DEADLINE: u64 = 1_000_000_000;

/// Checks the settings at `at`.
pub(super) fn check_terms(terms: &Terms, at: &Path, found: &mut Found) {
    check_counts(terms, at, found);
    check_rate(terms, &at.key("rate"), found);
    check_retry_budget(terms, &at.key("retry_budget"), found);
    check_back_off(terms, &at.key("back_off"), found);
    check_retry_after(terms, &at.key("come_back"), found);
    check_second_copies(terms, &at.key("second_copies"), found);
}

fn zero(found: &mut Found, at: Path, text: &str, remedy: &str) {
    found.add(Finding::error("zero", at, text, remedy));
}

fn check_counts(terms: &Terms, at: &Path, found: &mut Found) {
    if terms.time_out.is_some_and(|time_out| time_out.of(LONG_DEADLINE) == 0) {
        let text = "a try of no time can never be answered";
        zero(found, at.key("time_out"), text, "write how long a try may take");
    }
    if terms.attempts == Some(0) {
        zero(found, at.key("attempts"), "with no attempts no call is ever set up", "write 1 to 4");
    }
    if terms.open_calls == Some(0) {
        let text = "with no open calls every call is refused";
        zero(found, at.key("open_calls"), text, "write 1 or more");
    }
}

fn check_rate(terms: &Terms, at: &Path, found: &mut Found) {
    let Some(rate) = terms.rate else { return };
    let per_second = at.key("per_second");
    if !(rate.per_second.is_finite() && rate.per_second > 0.0) {
        let text = "a bucket that never fills refuses every call";
        zero(found, per_second.clone(), text, "write more than 0");
    }
    if rate.per_second > MAX_RATE {
        zero(found, per_second, "no gatekeeper takes so many set-ups a second", "write 1000000 or less");
    }
    if rate.burst == Some(0) {
        zero(found, at.key("burst"), "a bucket that holds nothing refuses every call", "write 1 or more");
    }
}

fn check_retry_budget(terms: &Terms, at: &Path, found: &mut Found) {
    let Some(budget) = terms.retry_budget else { return };
    if budget.share.0 <= 0.0 {
        let remedy = "write \"attempts: 1\" for no repeats, or a share over 0%";
        zero(found, at.key("share"), "a budget of nothing allows no repeats", remedy);
    }
    if budget.window.0 < MIN_BUDGET_WINDOW {
        let text = "a window under a second holds too few calls to count";
        zero(found, at.key("window"), text, "write \"1s\" or more");
    }
}

fn check_back_off(terms: &Terms, at: &Path, found: &mut Found) {
    let Some(back_off) = terms.back_off else { return };
    if back_off.first > back_off.most {
        let text = "the first pause is longer than the longest";
        let finding = Finding::error("order", at.key("first"), text, "swap them");
        found.add(finding.with(at.key("most"), "the longest"));
    }
    if !(back_off.factor.is_finite() && (1.0..=MAX_BACK_OFF_FACTOR).contains(&back_off.factor)) {
        let text = "a factor under 1 would make pauses shorter, one over 16 has no use";
        found.add(Finding::error("factor", at.key("factor"), text, "write 1 to 16"));
    }
    if back_off.jitter.0 > 1.0 {
        let text = "no more than all of the pause can be drawn at random";
        found.add(Finding::error("jitter", at.key("jitter"), text, "write \"100%\" or less"));
    }
}

fn check_retry_after(terms: &Terms, at: &Path, found: &mut Found) {
    let Some(advice) = terms.retry_after.filter(|advice| advice.least > advice.most) else { return };
    let text = format!("the least advice, {}, is longer than the most", advice.least);
    let finding = Finding::error("order", at.key("least"), text, "swap them");
    found.add(finding.with(at.key("most"), "the most"));
}

fn check_second_copies(terms: &Terms, at: &Path, found: &mut Found) {
    if terms.second_copies.is_some_and(|copies| copies.after == Span(0)) {
        let text = "a second copy at once is no second copy";
        zero(found, at.key("after"), text, "write how long the first try has");
    }
}
