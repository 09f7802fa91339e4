//! The server transactions of all peers, with bounds on their number and memory. A request that needs no state gets its
//! response without a transaction (§8.2.7), so that only requests which start or concern a call occupy memory.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::Micros;
use crate::config::SipBounds;

use super::message::Message;
use super::transaction::State;
use super::transport::Peer;
use super::{ServerKey, ServerTransaction};

/// The part of the bounds that the requests of one peer may use: a peer that floods leaves room for others.
const MAX_SHARE_OF_ONE_PEER: usize = 4;
/// Requests within a call are taken up to this multiple of the bounds, so that calls can end while new ones are refused.
const RESERVE_FOR_CALLS: usize = 2;
/// Memory of a transaction and of its call beside the request and its response.
const FIXED_BYTES: usize = 4 * 1_024;

/// Identifies an INVITE that may arrive over several paths (§8.2.2.2): Call-ID, From tag and CSeq.
type InviteIdentity = (String, String, u32);

/// Number and memory of transactions.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    count: usize,
    bytes: usize,
}

impl Usage {
    fn add(&mut self, bytes: usize) {
        self.count += 1;
        self.bytes += bytes;
    }

    fn subtract(&mut self, bytes: usize) {
        self.count = self.count.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(bytes);
    }

    fn has_room(self, bytes: usize, bounds: SipBounds, share: usize) -> bool {
        self.count < bounds.max_transactions / share
            && self.bytes + bytes <= bounds.max_transaction_bytes / share
    }
}

struct Entry {
    transaction: ServerTransaction,
    source: SocketAddr,
    bytes: usize,
    invite: Option<InviteIdentity>,
}

/// All server transactions.
pub(super) struct ServerTransactions {
    bounds: SipBounds,
    entries: HashMap<ServerKey, Entry>,
    /// Number of transactions of each INVITE.
    invites: HashMap<InviteIdentity, usize>,
    by_source: HashMap<SocketAddr, Usage>,
    total: Usage,
}

impl ServerTransactions {
    pub fn new(bounds: SipBounds) -> Self {
        ServerTransactions {
            bounds,
            entries: HashMap::new(),
            invites: HashMap::new(),
            by_source: HashMap::new(),
            total: Usage::default(),
        }
    }

    pub fn get(&self, key: &ServerKey) -> Option<&ServerTransaction> {
        self.entries.get(key).map(|entry| &entry.transaction)
    }

    pub fn get_mut(&mut self, key: &ServerKey) -> Option<&mut ServerTransaction> {
        self.entries.get_mut(key).map(|entry| &mut entry.transaction)
    }

    /// Whether a request that starts a call may occupy memory.
    pub fn has_room(&self, request: &Message, peer: Peer) -> bool {
        let bytes = memory_size(request);
        let of_source = self.by_source.get(&source(peer)).copied().unwrap_or_default();
        self.total.has_room(bytes, self.bounds, 1)
            && of_source.has_room(bytes, self.bounds, MAX_SHARE_OF_ONE_PEER)
    }

    /// Whether a request within a call may occupy memory.
    pub fn has_room_within_call(&self, request: &Message) -> bool {
        let bounds = SipBounds {
            max_transactions: self.bounds.max_transactions.saturating_mul(RESERVE_FOR_CALLS),
            max_transaction_bytes: self.bounds.max_transaction_bytes.saturating_mul(RESERVE_FOR_CALLS),
            ..self.bounds
        };
        self.total.has_room(memory_size(request), bounds, 1)
    }

    pub fn insert(&mut self, key: ServerKey, transaction: ServerTransaction) {
        let bytes = memory_size(&transaction.request);
        let source = source(transaction.peer);
        let invite = invite_identity(&transaction.request);
        if let Some(invite) = &invite {
            *self.invites.entry(invite.clone()).or_default() += 1;
        }
        self.total.add(bytes);
        self.by_source.entry(source).or_default().add(bytes);
        self.entries.insert(key, Entry { transaction, source, bytes, invite });
    }

    fn remove(&mut self, key: &ServerKey) {
        let Some(entry) = self.entries.remove(key) else { return };
        self.total.subtract(entry.bytes);
        if let Some(usage) = self.by_source.get_mut(&entry.source) {
            usage.subtract(entry.bytes);
            if usage.count == 0 {
                self.by_source.remove(&entry.source);
            }
        }
        if let Some(invite) = entry.invite
            && let Some(count) = self.invites.get_mut(&invite)
        {
            *count -= 1;
            if *count == 0 {
                self.invites.remove(&invite);
            }
        }
    }

    /// Removes the transaction if it has ended.
    pub fn remove_if_terminated(&mut self, key: &ServerKey) {
        if self.get(key).is_some_and(|transaction| transaction.machine.state == State::Terminated) {
            self.remove(key);
        }
    }

    /// Whether the same INVITE has arrived over another path (§8.2.2.2).
    pub fn is_merged(&self, request: &Message) -> bool {
        invite_identity(request).is_some_and(|invite| self.invites.contains_key(&invite))
    }

    /// The transactions with a timer that is due.
    pub fn due(&self, now: Micros) -> Vec<ServerKey> {
        let is_due = |entry: &Entry| entry.transaction.machine.next_timer_at().is_some_and(|at| at <= now);
        self.entries.iter().filter(|(_, entry)| is_due(entry)).map(|(key, _)| key.clone()).collect()
    }
}

fn invite_identity(request: &Message) -> Option<InviteIdentity> {
    let (number, method) = request.cseq()?;
    let is_initial = method == "INVITE" && request.tag("To").is_none();
    let from = request.tag("From").unwrap_or_default().to_string();
    is_initial.then(|| (request.get("Call-ID").unwrap_or_default().to_string(), from, number))
}

/// Memory that a transaction of this request occupies; its response repeats the request's fields at most.
fn memory_size(request: &Message) -> usize {
    FIXED_BYTES + 2 * request.memory_size()
}

fn source(peer: Peer) -> SocketAddr {
    let (Peer::Udp(address) | Peer::Tcp(address, _)) = peer;
    address
}
