//! The callers' side: connections in, requests and releases from them, answers and releases to them.
//!
//! [`Clients`] owns the connections, the callers of all calls and the releases that callers have not confirmed;
//! [`PlatformFrontend`](super::PlatformFrontend) owns it, and its methods here join it to the core. Each connection is a task of
//! its own (`connections`), which ends with it.
//!
//! | file | concern |
//! | --- | --- |
//! | `connections` | accepting, making room, closing; the ends of connections |
//! | `requests` | what callers say, and the answers to it |
//! | `releases` | releases of established calls, until their callers confirm them |

mod connections;
mod releases;
mod requests;

use std::collections::{HashMap, VecDeque};
use std::net::IpAddr;
use std::rc::Rc;

use crate::call_trace::CallTrace;
use crate::link::{Outbox, Ticket};
use crate::{CallId, Micros};

use super::line::Tag;
use super::{ConnectionId, NO_CONNECTION};
use connections::ClientConnection;
pub(super) use connections::accept;
use releases::{Release, ReleaseExpiry};

/// No caller means to wait longer than its class's limit; one that says so has sent a figure that is none.
const MAX_WAIT_SLACK_MS: f64 = 1_000.0;

/// What is remembered of a call for as long as it is pending or established.
pub struct Caller {
    /// Its id on the wire.
    pub tag: Tag,
    /// Its class's place in the settings.
    pub class: usize,
    /// The class as it came, in JSON.
    pub class_json: Box<str>,
    /// The number called as it came, in JSON.
    pub number_json: Box<str>,
    connection: ConnectionId,
    /// Its address.
    pub peer: IpAddr,
}

/// All callers.
pub struct Clients {
    class_names: Vec<String>,
    /// The longest that any class's caller waits, in milliseconds.
    max_wait_ms: f64,
    max_connections: usize,
    connections: HashMap<ConnectionId, ClientConnection>,
    calls: HashMap<CallId, Caller>,
    by_tag: HashMap<Tag, CallId>,
    last_call: u64,
    /// Releases that wait for a connection.
    pending_releases: VecDeque<(Tag, Release)>,
    /// The connections on which releases were written that nobody has confirmed.
    unconfirmed_releases: HashMap<Tag, ConnectionId>,
    /// All releases, in the order in which they expire.
    release_expiries: VecDeque<ReleaseExpiry>,
    /// The newer process of an upgrade: releases for which there is no connection here are sent there.
    pub(super) successor: Option<Rc<Outbox>>,
    /// The descriptors are shared with another process.
    is_shared: bool,
    trace: CallTrace,
}

impl Clients {
    /// Callers of these classes, of whom none waits longer than `max_wait`, on at most `max_connections` connections.
    pub(super) fn new(
        class_names: Vec<String>,
        max_wait: Micros,
        max_connections: usize,
        trace: CallTrace,
    ) -> Self {
        Clients {
            class_names,
            max_wait_ms: max_wait as f64 / 1000.0 + MAX_WAIT_SLACK_MS,
            max_connections: max_connections.max(1),
            connections: HashMap::new(),
            calls: HashMap::new(),
            by_tag: HashMap::new(),
            last_call: 0,
            pending_releases: VecDeque::new(),
            unconfirmed_releases: HashMap::new(),
            release_expiries: VecDeque::new(),
            successor: None,
            is_shared: false,
            trace,
        }
    }

    /// A call's caller, while the call is pending or established.
    pub fn caller(&self, call: CallId) -> Option<&Caller> {
        self.calls.get(&call)
    }

    /// The call of a wire id, while it is pending or established.
    pub(super) fn call_by_tag(&self, tag: Tag) -> Option<CallId> {
        self.by_tag.get(&tag).copied()
    }

    /// A class's place in the settings, by its name.
    pub(super) fn class_index(&self, name: &str) -> Option<usize> {
        self.class_names.iter().position(|class| class == name)
    }

    /// A class's name, by its place in the settings.
    pub(super) fn class_name(&self, class: usize) -> &str {
        self.class_names.get(class).map_or("", String::as_str)
    }

    /// Sets whether the descriptors are shared with another process.
    pub(super) fn set_shared(&mut self, is_shared: bool) {
        self.is_shared = is_shared;
    }

    /// Takes an established call from another process; no connection of ours brought it.
    pub(super) fn adopt_call(&mut self, tag: Tag, class: usize, peer: IpAddr) -> CallId {
        let call = self.new_call_id();
        let connection = NO_CONNECTION;
        let caller = Caller { tag, class, class_json: "".into(), number_json: "".into(), connection, peer };
        self.calls.insert(call, caller);
        self.by_tag.insert(tag, call);
        call
    }

    /// Removes a call.
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
