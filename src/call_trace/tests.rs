//! The ring buffer's bound and cost.

use std::time::Instant;

use super::*;

#[test]
fn steps_of_a_call_are_returned_in_order_and_the_oldest_are_replaced() {
    let trace = CallTrace::default();
    trace.record(1, CallId(1), TraceStep::RequestedOn(7));
    for n in 0..CAPACITY as u64 - 1 {
        trace.record(2 + n, CallId(2), TraceStep::ReleasePending);
    }
    assert_eq!(trace.steps_of(CallId(1)).0, [(1, TraceStep::RequestedOn(7))]);
    trace.record(20_000, CallId(3), TraceStep::RequestedOn(8));
    trace.record(21_500, CallId(3), TraceStep::Failed);
    assert_eq!(trace.steps_of(CallId(1)).0, [], "the oldest was replaced");
    assert_eq!(trace.steps_of(CallId(3)).to_string(), "RequestedOn(8) +0.0ms, Failed +1.5ms");
    assert_eq!(trace.0.borrow().entries.capacity(), CAPACITY, "it never grows");
}

/// A set-up costs the program some 50 microseconds and makes some 10 steps; the bound leaves room for a build without
/// optimisation on a busy machine.
#[test]
fn a_step_costs_next_to_nothing() {
    let trace = CallTrace::default();
    let steps = 400_000;
    let started = Instant::now();
    for n in 0..steps {
        trace.record(n, CallId(n), TraceStep::RequestedOn(n));
    }
    let each = started.elapsed().as_nanos() as u64 / steps;
    assert!(each < 2_000, "{each} ns a step");
}
