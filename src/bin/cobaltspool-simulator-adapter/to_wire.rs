//! Translates the core's actions into the simulator's.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use cobaltspool::{Action, ServerId};

use crate::host::Host;
use crate::wire::Act;

/// One action of a gatekeeper.
pub fn act(front: u64, host: &Host, action: Action) -> Act {
    let name = |s: ServerId| host.server_name(s);
    match action {
        Action::Attempt { call, server, timeout } => {
            Act::Dispatch { front, request_id: call.0, server: name(server), allow_for_us: timeout }
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
