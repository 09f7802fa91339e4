//! Tests of the ring buffer's capacity and of the cost of recording a step.

use std::time::Instant;

use super::*;

#[test]
fn steps_are_returned_in_order_and_the_oldest_are_replaced() {
    let trace = CallTrace::default();
    trace.record(1, CallId(1), TraceStep::RequestedOn(7));
    for n in 0..CAPACITY as u64 - 1 {
        trace.record(2 + n, CallId(2), TraceStep::ReleasePending);
    }
    assert_eq!(trace.steps_of(CallId(1)).0, [(1, TraceStep::RequestedOn(7))]);
    trace.record(20_000, CallId(3), TraceStep::RequestedOn(8));
    trace.record(21_500, CallId(3), TraceStep::Failed);
    assert_eq!(trace.steps_of(CallId(1)).0, [], "the oldest step was replaced");
    assert_eq!(trace.steps_of(CallId(3)).to_string(), "RequestedOn(8) +0.0ms, Failed +1.5ms");
    assert_eq!(trace.0.borrow().entries.capacity(), CAPACITY, "the buffer does not grow");
}

/// A set-up takes the program about 50 µs and records about 10 steps. The bound of 2 µs per step allows for an
/// unoptimised build on a busy machine.
#[test]
fn recording_a_step_takes_less_than_2_microseconds() {
    let trace = CallTrace::default();
    let steps = 400_000;
    let started = Instant::now();
    for n in 0..steps {
        trace.record(n, CallId(n), TraceStep::RequestedOn(n));
    }
    let ns_per_step = started.elapsed().as_nanos() as u64 / steps;
    assert!(ns_per_step < 2_000, "{ns_per_step} ns per step");
}
