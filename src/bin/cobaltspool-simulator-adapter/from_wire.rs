//! Converts the simulator's messages into the core's types.

use cobaltspool::{
    CallId, Cause, Class, EndpointListScope, LoadReport, NewCall, Number, Outcome, PoolId, Rules,
    ServerEntry, ServerId, ServerStatus, Settings,
};

use crate::wire::{self, Availability, Element, Ending, Profile, Scope, Telemetry};

/// The settings of one gatekeeper.
pub fn settings(profile: &Profile) -> Settings {
    let pools = &profile.domain.allowed_pools;
    let class = |(n, s): (usize, &wire::Service)| Class {
        latency_objective: s.aim_us,
        priority_weight: s.worth,
        late_weight_share: s.late_worth,
        pools: pools.get(n).map(|p| p.iter().map(|n| PoolId(*n)).collect()),
        is_idempotent: s.effect == "read_like" || s.effect.is_empty(),
    };
    let (limits, rules) = (&profile.ceilings, &profile.rules);
    Settings {
        gatekeeper_count: profile.peers_total,
        own_index: profile.me,
        classes: profile.services.iter().enumerate().map(class).collect(),
        retransmit_after: profile.domain.resend_us,
        tick: profile.tick_us,
        max_attempts: limits.max_attempts,
        may_hedge: limits.second_copies,
        may_cancel: limits.cancel,
        may_check_health: limits.probes,
        may_message: limits.peers,
        may_send_retry_after: limits.retry_after,
        max_retry_after: limits.max_retry_after_us,
        polls_endpoint_list: profile.discovery == "on_request",
        rules: Rules {
            answer_slack: rules.answer_slack_us,
            drain_grace: rules.drain_grace_us,
            release_wait: profile.domain.clear_wait_us,
            initial_capacity: rules.start_capacity,
            warm_up_duration: rules.warm_up_us,
            overload_multiple: rules.tip_multiple,
            overload_window: rules.fall_us,
        },
    }
}

/// A server's load report.
pub fn load(telemetry: &Telemetry) -> LoadReport {
    LoadReport {
        utilization: telemetry.cpu,
        queued_setups: telemetry.waiting,
        messages_in_progress: telemetry.active,
        queueing_delay_ms: telemetry.avg_ms,
        allowed_rate: telemetry.allowed,
        requested_reduction: telemetry.cut_by,
        free_lines: telemetry.spare,
        total_lines: telemetry.total,
    }
}

/// How an attempt ended.
pub fn outcome(ending: Ending) -> Outcome {
    match ending {
        Ending::Success => Outcome::Completed,
        Ending::Failure => Outcome::Failed,
        Ending::Overloaded => Outcome::Rejected,
        Ending::TimedOut => Outcome::TimedOut,
        Ending::Unreachable => Outcome::Unreachable,
        Ending::Broken => Outcome::Reset,
        Ending::Withdrawn => Outcome::Cancelled,
        Ending::Void => Outcome::NotSent,
    }
}

/// Why an attempt was rejected. The low four bits of the note are the cause, the other bits are a delay in
/// milliseconds.
pub fn cause(note: i64) -> Cause {
    match note & 15 {
        1 => Cause::NoFreeLine,
        2 if note != 18 => Cause::NoFreeLine,
        2 => Cause::ProcessorOverloaded { retry_after: None },
        3 => Cause::ProcessorOverloaded { retry_after: (note >> 4 > 0).then_some((note >> 4) as u64 * 1000) },
        4 => Cause::NumberBusy,
        _ => Cause::Unspecified,
    }
}

/// Which servers an endpoint list covers.
pub fn list_scope(scope: Scope) -> EndpointListScope {
    match scope {
        Scope::Update => EndpointListScope::Changes,
        Scope::Restored => EndpointListScope::Restored,
        _ => EndpointListScope::Complete,
    }
}

/// An entry of an endpoint list.
pub fn server_entry(server: ServerId, element: &Element) -> ServerEntry {
    ServerEntry {
        server,
        pool: PoolId(element.place_no),
        started_at: element.started_at_us,
        status: match element.availability {
            Availability::Up => ServerStatus::Up,
            Availability::Draining => ServerStatus::Draining,
            Availability::Removed => ServerStatus::Removed,
        },
    }
}

/// A new call.
pub fn new_call(query: wire::Query) -> NewCall {
    NewCall {
        call: CallId(query.request_id),
        class: query.service,
        number: Number(query.item),
        deadline: query.due_us.max(0) as u64,
        first_choice: PoolId(query.dest as i64),
        is_redial: query.repeat,
        in_transit: query.passing,
        max_attempts: u32::MAX,
    }
}
