//! The callers' side: incoming connections, requests and releases from callers, answers and releases to callers.
//!
//! [`Clients`] owns the connections, the callers of all calls and the releases that callers have not confirmed.
//! [`PlatformFrontend`](super::PlatformFrontend) owns [`Clients`], and its methods in these files connect it to the
//! core. Each connection is served by a task of its own (in `connections`).
//!
//! | file | concern |
//! | --- | --- |
//! | `connections` | accepting, limiting and closing connections; the effects of a connection's end |
//! | `requests` | messages from callers, and the answers to them |
//! | `releases` | releases of established calls, until their callers confirm them |
//! | `other_process` | releases that are passed to or taken over from the other process of an upgrade |

mod connections;
mod other_process;
mod releases;
mod requests;

use crate::call_trace::CallTrace;
use crate::link::Ticket;
use crate::{CallId, Micros};
use std::collections::{HashMap, VecDeque};
use std::net::IpAddr;

use super::line::Tag;
use super::{ConnectionId, NO_CONNECTION};
use connections::ClientConnection;
pub(super) use connections::accept;
pub(super) use other_process::OtherProcess;
use releases::{Release, ReleaseExpiry};

/// A requested wait that exceeds the longest limit of any class by more than this is rejected as an invalid field.
const MAX_WAIT_SLACK_MS: f64 = 1_000.0;

/// The caller of a pending or established call.
pub struct Caller {
    /// The call's id on the wire.
    pub tag: Tag,
    /// Index of the call's class in the settings.
    pub class: usize,
    /// The class as received, in JSON.
    pub class_json: Box<str>,
    /// The dialled number as received, in JSON.
    pub number_json: Box<str>,
    /// The connection on which the request came.
    connection: ConnectionId,
    /// The caller's address.
    pub peer: IpAddr,
}

/// All callers and their connections.
pub struct Clients {
    class_names: Vec<String>,
    /// The longest wait that a request may ask for, in milliseconds.
    max_wait_ms: f64,
    max_connections: usize,
    /// Maximum number of pending calls of one connection.
    max_pending_of_connection: usize,
    connections: HashMap<ConnectionId, ClientConnection>,
    calls: HashMap<CallId, Caller>,
    by_tag: HashMap<Tag, CallId>,
    last_call: u64,
    /// Releases that wait for a connection.
    pending_releases: VecDeque<(Tag, Release)>,
    /// For each unconfirmed release, the connection on which it was sent.
    unconfirmed_releases: HashMap<Tag, ConnectionId>,
    /// All releases, in the order in which they expire.
    release_expiries: VecDeque<ReleaseExpiry>,
    /// The other process of an upgrade, to which releases are passed for which this one has no connection.
    other_process: Option<OtherProcess>,
    /// Whether the limit on connections is shared with another process.
    is_shared: bool,
    trace: CallTrace,
}

impl Clients {
    /// Creates the callers' side for these classes. `max_wait` is the longest limit of any class on a caller's wait.
    pub(super) fn new(
        class_names: Vec<String>,
        max_wait: Micros,
        max_connections: usize,
        max_pending_of_connection: usize,
        trace: CallTrace,
    ) -> Self {
        Clients {
            class_names,
            max_wait_ms: max_wait as f64 / 1000.0 + MAX_WAIT_SLACK_MS,
            max_connections: max_connections.max(1),
            max_pending_of_connection,
            connections: HashMap::new(),
            calls: HashMap::new(),
            by_tag: HashMap::new(),
            last_call: 0,
            pending_releases: VecDeque::new(),
            unconfirmed_releases: HashMap::new(),
            release_expiries: VecDeque::new(),
            other_process: None,
            is_shared: false,
            trace,
        }
    }

    /// The caller of a call that is pending or established.
    pub fn caller(&self, call: CallId) -> Option<&Caller> {
        self.calls.get(&call)
    }

    /// The pending or established call with this id on the wire.
    pub(super) fn call_by_tag(&self, tag: Tag) -> Option<CallId> {
        self.by_tag.get(&tag).copied()
    }

    /// The index in the settings of the class with this name.
    pub(super) fn class_index(&self, name: &str) -> Option<usize> {
        self.class_names.iter().position(|class| class == name)
    }

    /// The name of the class at this index in the settings; empty if there is none.
    pub(super) fn class_name(&self, class: usize) -> &str {
        self.class_names.get(class).map_or("", String::as_str)
    }

    /// Sets whether the limit on connections is shared with another process: if so, half of it applies here.
    pub(super) fn set_shared(&mut self, is_shared: bool) {
        self.is_shared = is_shared;
    }

    /// Adds an established call that another process handed over. It has no connection of this process.
    pub(super) fn adopt_call(&mut self, tag: Tag, class: usize, peer: IpAddr) -> CallId {
        let call = self.new_call_id();
        let connection = NO_CONNECTION;
        let caller = Caller { tag, class, class_json: "".into(), number_json: "".into(), connection, peer };
        self.calls.insert(call, caller);
        self.by_tag.insert(tag, call);
        call
    }

    /// Removes a call and returns its caller.
    pub(super) fn remove_call(&mut self, call: CallId) -> Option<Caller> {
        let caller = self.calls.remove(&call)?;
        self.by_tag.remove(&caller.tag);
        if let Some(connection) = self.connections.get_mut(&caller.connection) {
            connection.pending.remove(&call);
            connection.established.remove(&call);
        }
        Some(caller)
    }

    fn new_call_id(&mut self) -> CallId {
        self.last_call += 1;
        CallId(self.last_call)
    }

    fn write(&mut self, id: ConnectionId, message: &[u8]) -> Option<Ticket> {
        self.connections.get(&id)?.outbox.push(message)
    }
}
