//! Converts the core's actions into the simulator's messages.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use cobaltspool::{Action, ServerId};

use crate::gatekeeper::SimulatedGatekeeper;
use crate::wire::OutputMessage;

/// Converts an action of the gatekeeper `front`.
pub fn output_message(front: u64, gatekeeper: &SimulatedGatekeeper, action: Action) -> OutputMessage {
    let name = |s: ServerId| gatekeeper.server_name(s);
    match action {
        Action::Attempt { call, server, timeout } => {
            OutputMessage::Dispatch { front, request_id: call.0, server: name(server), allow_for_us: timeout }
        }
        Action::Cancel { call, attempt } => {
            OutputMessage::StopAttempt { front, request_id: call.0, copy: attempt }
        }
        Action::Reject { call, retry_after } => {
            OutputMessage::Shed { front, request_id: call.0, retry_in_us: retry_after }
        }
        Action::Fail { call } => OutputMessage::Fail { front, request_id: call.0 },
        Action::CheckHealth { server } => OutputMessage::AskLoad { front, server: name(server) },
        Action::CloseIdle { server } => OutputMessage::HangUp { front, server: name(server) },
        Action::SendMessage { to, bytes } => {
            OutputMessage::MemoTo { front, dst: to.map_or(-1, i64::from), msg: BASE64.encode(bytes) }
        }
        Action::WatchEndpointList { enabled } => OutputMessage::Watch { front, on: enabled },
        Action::PollEndpointList => OutputMessage::Pull { front },
        Action::SetTimer { delay, key } => {
            OutputMessage::SetTimer { front, delay_us: delay, key_back: key.to_string() }
        }
        Action::Log { text } => OutputMessage::Log { front, note_text: text },
    }
}
