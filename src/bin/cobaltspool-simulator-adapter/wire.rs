//! The messages that the adapter exchanges with the simulator, one JSON object per line. The names of their fields and
//! variants are the wire format.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

#[derive(Deserialize)]
pub struct Batch {
    #[serde(rename = "clock-us")]
    pub clock: u64,
    pub frame: u64,
    pub msgs: Vec<InputMessage>,
}

/// A message from the simulator.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InputMessage {
    Begin(Begin),
    Directory(Directory),
    PeersKnown(PeersKnown),
    Query(Query),
    Inbox(Inbox),
    Aborted(Aborted),
    Reply(Reply),
    PingResult(PingResult),
    Killed(Killed),
    Reminder(Reminder),
    AckFirst(AckFirst),
}

impl InputMessage {
    /// The gatekeeper that the message is addressed to; `None` for a server list, which all gatekeepers share.
    pub fn front(&self) -> Option<u64> {
        match self {
            Self::Directory(_) => None,
            Self::Begin(message) => Some(message.front),
            Self::PeersKnown(message) => Some(message.front),
            Self::Query(message) => Some(message.front),
            Self::Inbox(message) => Some(message.front),
            Self::Aborted(message) => Some(message.front),
            Self::Reply(message) => Some(message.front),
            Self::PingResult(message) => Some(message.front),
            Self::Killed(message) => Some(message.front),
            Self::Reminder(message) => Some(message.front),
            Self::AckFirst(message) => Some(message.front),
        }
    }
}

/// Starts a gatekeeper.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Begin {
    pub front: u64,
    pub random_seed: u64,
    pub profile_data: Box<Profile>,
}

/// A server list; later messages refer to it by `ref`.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Directory {
    pub r#ref: u64,
    pub elements: Vec<Element>,
}

/// Gives a server list to a gatekeeper.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PeersKnown {
    pub front: u64,
    pub scope: Scope,
    #[serde(default)]
    pub r#ref: u64,
}

/// A new call.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Query {
    pub front: u64,
    pub request_id: u64,
    #[serde(default)]
    pub service: usize,
    #[serde(default)]
    pub item: u64,
    pub due_us: i64,
    #[serde(default)]
    pub dest: f64,
    #[serde(default)]
    pub repeat: bool,
    #[serde(default)]
    pub passing: bool,
}

/// A message from another gatekeeper.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Inbox {
    pub front: u64,
    #[serde(default)]
    pub origin_peer: u32,
    #[serde(default)]
    pub msg: String,
}

/// The caller has abandoned the call.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Aborted {
    pub front: u64,
    pub request_id: u64,
}

/// An attempt has ended.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Reply {
    pub front: u64,
    pub request_id: u64,
    #[serde(default)]
    pub copy: u32,
    pub server: String,
    pub ending: Ending,
    #[serde(default)]
    pub took_us: u64,
    #[serde(default)]
    pub ended: bool,
    #[serde(default)]
    pub note: i64,
    #[serde(default)]
    pub telemetry: Telemetry,
}

/// The answer to a health check.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PingResult {
    pub front: u64,
    pub server: String,
    pub ending: Ending,
    #[serde(default)]
    pub telemetry: Telemetry,
}

/// A gatekeeper has been killed.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Killed {
    pub front: u64,
}

/// A timer has expired.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Reminder {
    pub front: u64,
    pub key_back: String,
}

/// A call is established.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct AckFirst {
    pub front: u64,
    pub request_id: u64,
    #[serde(default)]
    pub copy: u32,
    pub server: String,
    #[serde(default)]
    pub took_us: u64,
}

#[derive(Deserialize, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    Update,
    Replace,
    Restored,
    Unavailable,
}

#[derive(Deserialize, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    Success,
    Failure,
    Overloaded,
    TimedOut,
    Unreachable,
    Broken,
    Withdrawn,
    Void,
}

#[derive(Deserialize, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Availability {
    Up,
    Draining,
    Removed,
}

#[derive(Deserialize, Clone)]
#[serde(rename_all = "kebab-case")]
pub struct Element {
    #[serde(default)]
    pub place_no: i64,
    pub server: String,
    #[serde(default)]
    pub started_at_us: u64,
    pub availability: Availability,
}

#[derive(Deserialize, Clone, Copy, Default)]
#[serde(default)]
pub struct Telemetry {
    pub spare: Option<f64>,
    pub total: Option<f64>,
    pub active: Option<f64>,
    pub waiting: Option<f64>,
    pub cpu: Option<f64>,
    pub avg_ms: Option<f64>,
    pub allowed: Option<f64>,
    pub cut_by: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Profile {
    #[serde(default)]
    pub me: u32,
    pub peers_total: u32,
    pub tick_us: u64,
    #[serde(default)]
    pub discovery: String,
    pub services: Vec<Service>,
    pub ceilings: Ceilings,
    pub rules: RuleParameters,
    #[serde(default)]
    pub domain: Domain,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Service {
    pub aim_us: u64,
    #[serde(default)]
    pub worth: f64,
    #[serde(default)]
    pub late_worth: f64,
    #[serde(default)]
    pub effect: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Ceilings {
    #[serde(default)]
    pub second_copies: bool,
    #[serde(default)]
    pub cancel: bool,
    #[serde(default)]
    pub probes: bool,
    #[serde(default)]
    pub peers: bool,
    #[serde(default)]
    pub retry_after: bool,
    #[serde(default)]
    pub max_retry_after_us: u64,
    pub max_attempts: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RuleParameters {
    #[serde(default)]
    pub answer_slack_us: u64,
    #[serde(default)]
    pub drain_grace_us: u64,
    #[serde(default)]
    pub fall_us: u64,
    #[serde(default)]
    pub start_capacity: f64,
    #[serde(default)]
    pub tip_multiple: f64,
    #[serde(default)]
    pub warm_up_us: u64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct Domain {
    pub allowed_pools: Vec<Vec<i64>>,
    pub clear_wait_us: u64,
    pub resend_us: u64,
    pub says_wait: bool,
    pub layout: String,
}

#[derive(Serialize)]
pub struct BatchReply {
    pub frame: u64,
    pub actions: Vec<OutputMessage>,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutputMessage {
    #[serde(rename_all = "kebab-case")]
    Dispatch {
        front: u64,
        request_id: u64,
        server: Rc<str>,
        allow_for_us: u64,
    },
    #[serde(rename_all = "kebab-case")]
    Fail {
        front: u64,
        request_id: u64,
    },
    HangUp {
        front: u64,
        server: Rc<str>,
    },
    AskLoad {
        front: u64,
        server: Rc<str>,
    },
    #[serde(rename_all = "kebab-case")]
    SetTimer {
        front: u64,
        delay_us: u64,
        key_back: String,
    },
    #[serde(rename_all = "kebab-case")]
    Shed {
        front: u64,
        request_id: u64,
        retry_in_us: u64,
    },
    Watch {
        front: u64,
        on: bool,
    },
    #[serde(rename_all = "kebab-case")]
    Log {
        front: u64,
        note_text: String,
    },
    MemoTo {
        front: u64,
        dst: i64,
        msg: String,
    },
    #[serde(rename_all = "kebab-case")]
    StopAttempt {
        front: u64,
        request_id: u64,
        copy: u32,
    },
    Pull {
        front: u64,
    },
}
