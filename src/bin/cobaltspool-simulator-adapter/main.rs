//! Hosts fronts on the simulator's JSON wire: translation only, no decision.
#![forbid(unsafe_code)]

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use std::rc::Rc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use cobaltspool::*;
use wire::{Act, Batch, Element, Ending, Msg, Profile, Reply, Scope, Telemetry};

/// One front with its own numbering of the servers that its lists have named.
struct Host {
    front: Controller,
    ids: BTreeMap<Rc<str>, ServerId>,
    names: Vec<Rc<str>>,
}

impl Host {
    fn id(&mut self, name: &str) -> ServerId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let (name, id): (Rc<str>, _) = (name.into(), ServerId(self.names.len() as u32));
        self.names.push(name.clone());
        self.ids.insert(name, id);
        id
    }
}

fn settings(profile: &Profile) -> Settings {
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
        gatekeepers: profile.peers_total,
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

fn load(t: &Telemetry) -> LoadReport {
    LoadReport {
        utilization: t.cpu,
        queued_setups: t.waiting,
        messages_in_progress: t.active,
        queue_wait_ms: t.avg_ms,
        allowed_rate: t.allowed,
        requested_reduction: t.cut_by,
        free_lines: t.spare,
        total_lines: t.total,
    }
}

fn outcome(ending: Ending) -> Outcome {
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

/// Reads the wire's note: its low four bits say what happened, the rest is a wait in milliseconds.
fn cause(note: i64) -> Cause {
    match note & 15 {
        1 => Cause::NoFreeLine,
        2 if note != 18 => Cause::NoFreeLine,
        2 => Cause::ProcessorOverloaded { retry_after: None },
        3 => Cause::ProcessorOverloaded { retry_after: (note >> 4 > 0).then_some((note >> 4) as u64 * 1000) },
        4 => Cause::NumberBusy,
        _ => Cause::Unspecified,
    }
}

#[derive(Default)]
struct Process {
    fronts: BTreeMap<u64, Host>,
    lists: BTreeMap<u64, Vec<Element>>,
    out: Vec<Action>,
}

impl Process {
    fn run(&mut self, line: &str) -> Result<Reply, String> {
        let batch: Batch = serde_json::from_str(line).map_err(|e| format!("not a batch: {e}"))?;
        let mut actions = Vec::new();
        for (n, msg) in batch.msgs.into_iter().enumerate() {
            self.take(batch.clock, msg, &mut actions)
                .map_err(|e| format!("frame {}, message {n}: {e}", batch.frame))?;
        }
        Ok(Reply { frame: batch.frame, actions })
    }

    fn take(&mut self, now: u64, msg: Msg, acts: &mut Vec<Act>) -> Result<(), String> {
        let front = match &msg {
            Msg::Directory { .. } => 0,
            Msg::Begin { front, .. }
            | Msg::PeersKnown { front, .. }
            | Msg::Query { front, .. }
            | Msg::Inbox { front, .. }
            | Msg::Aborted { front, .. }
            | Msg::Reply { front, .. }
            | Msg::PingResult { front, .. }
            | Msg::Killed { front }
            | Msg::Reminder { front, .. }
            | Msg::AckFirst { front, .. } => *front,
        };
        let msg = match msg {
            Msg::Directory { r#ref, elements } => {
                self.lists.insert(r#ref, elements);
                return Ok(());
            }
            Msg::Begin { random_seed, profile_data, .. } => {
                let new = Controller::new(settings(&profile_data), random_seed);
                self.fronts.insert(front, Host { front: new, ids: BTreeMap::new(), names: Vec::new() });
                return Ok(());
            }
            Msg::Killed { .. } => {
                self.fronts.remove(&front).ok_or_else(|| format!("unknown front {front}"))?;
                return Ok(());
            }
            other => other,
        };
        let host = self.fronts.get_mut(&front).ok_or_else(|| format!("unknown front {front}"))?;
        let event = match msg {
            Msg::PeersKnown { scope: Scope::Unavailable, .. } => Event::EndpointListUnavailable,
            Msg::PeersKnown { scope, r#ref, .. } => {
                let list = self.lists.get(&r#ref).ok_or_else(|| format!("unknown server list {ref}"))?;
                let scope = match scope {
                    Scope::Update => EndpointListScope::Changes,
                    Scope::Restored => EndpointListScope::Restored,
                    _ => EndpointListScope::Complete,
                };
                let entry = |e: &Element| ServerEntry {
                    server: host.id(&e.server),
                    pool: PoolId(e.place_no),
                    started_at: e.started_at_us,
                    status: match e.availability {
                        wire::Availability::Up => ServerStatus::Up,
                        wire::Availability::Draining => ServerStatus::Draining,
                        wire::Availability::Removed => ServerStatus::Removed,
                    },
                };
                Event::EndpointList { scope, entries: list.iter().map(entry).collect() }
            }
            Msg::Query { request_id, service, item, due_us, dest, repeat, passing, .. } => {
                Event::Call(NewCall {
                    call: CallId(request_id),
                    class: service,
                    number: Number(item),
                    deadline: due_us.max(0) as u64,
                    first_choice: PoolId(dest as i64),
                    is_redial: repeat,
                    in_transit: passing,
                    max_attempts: u32::MAX,
                })
            }
            Msg::Inbox { origin_peer, msg, .. } => Event::Message {
                from: origin_peer,
                bytes: BASE64.decode(&msg).map_err(|e| format!("inbox: bad base64: {e}"))?,
            },
            Msg::Aborted { request_id, .. } => Event::CallerGone { call: CallId(request_id) },
            Msg::Reply { request_id, copy, server, ending, took_us, ended, note, telemetry, .. } => {
                Event::AttemptEnded(AttemptEnd {
                    call: CallId(request_id),
                    attempt: copy,
                    server: host.id(&server),
                    outcome: outcome(ending),
                    cause: cause(note),
                    elapsed: took_us,
                    is_call_over: ended,
                    load: load(&telemetry),
                    retry_delay: 0,
                    may_retry: true,
                })
            }
            Msg::PingResult { server, ending, telemetry, .. } => Event::Load {
                server: host.id(&server),
                answered: ending == Ending::Success,
                load: load(&telemetry),
            },
            Msg::Reminder { key_back, .. } => Event::Timer {
                key: key_back.parse().map_err(|_| format!("reminder: key {key_back:?} is not a timer's"))?,
            },
            Msg::AckFirst { request_id, copy, server, took_us, .. } => Event::Established {
                call: CallId(request_id),
                attempt: copy,
                server: host.id(&server),
                elapsed: took_us,
            },
            Msg::Begin { .. } | Msg::Directory { .. } | Msg::Killed { .. } => return Ok(()),
        };
        host.front.handle(now, event, &mut self.out);
        for action in self.out.drain(..) {
            acts.push(act(front, host, action));
        }
        Ok(())
    }
}

fn act(front: u64, host: &Host, action: Action) -> Act {
    let name = |s: ServerId| host.names[s.0 as usize].clone();
    match action {
        Action::Attempt { call, server, timeout: time_out } => {
            Act::Dispatch { front, request_id: call.0, server: name(server), allow_for_us: time_out }
        }
        Action::Cancel { call, attempt } => Act::StopAttempt { front, request_id: call.0, copy: attempt },
        Action::Reject { call, retry_after } => {
            Act::Shed { front, request_id: call.0, retry_in_us: retry_after }
        }
        Action::Fail { call } => Act::Fail { front, request_id: call.0 },
        Action::CheckHealth { server } => Act::AskLoad { front, server: name(server) },
        Action::CloseIdle { server } => Act::HangUp { front, server: name(server) },
        Action::SendMessage { to, bytes } => {
            Act::MemoTo { front, dst: to.map_or(-1, i64::from), msg: BASE64.encode(bytes) }
        }
        Action::WatchEndpointList { enabled } => Act::Watch { front, on: enabled },
        Action::PollEndpointList => Act::Pull { front },
        Action::SetTimer { delay, key } => {
            Act::SetTimer { front, delay_us: delay, key_back: key.to_string() }
        }
        Action::Log { text } => Act::Log { front, note_text: text },
    }
}

fn main() -> ExitCode {
    let (mut process, mut line) = (Process::default(), String::new());
    let (mut input, mut output) = (io::stdin().lock(), io::BufWriter::new(io::stdout().lock()));
    loop {
        line.clear();
        match input.read_line(&mut line) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) => {}
            Err(e) => return complain(&format!("reading: {e}")),
        }
        let reply = match process.run(&line) {
            Ok(reply) => reply,
            Err(e) => return complain(&e),
        };
        let written = serde_json::to_writer(&mut output, &reply).map_err(io::Error::from);
        if let Err(e) = written.and_then(|()| output.write_all(b"\n")).and_then(|()| output.flush()) {
            return complain(&format!("writing: {e}"));
        }
    }
}

fn complain(what: &str) -> ExitCode {
    eprintln!("cobaltspool-simulator-adapter: {what}");
    ExitCode::FAILURE
}
