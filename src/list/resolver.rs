//! Polls the DNS resolver for the server list over UDP and reports each new list.

use std::cell::Cell;
use std::collections::VecDeque;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::Duration;

use hickory_proto::rr::RecordType;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::Micros;
use crate::clock;

use super::ListedServer;
use super::dns::{Records, build_query};

/// Polling interval. New calls to a draining server must stop within a fixed time after the drain is published, and the
/// interval is part of that time.
pub const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time to wait for an answer to a query for missing records.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 8192;
/// Maximum number of outstanding queries; beyond it the oldest is dropped. An answer that arrives after the next query
/// was sent is still used.
const MAX_OUTSTANDING: usize = 24;
/// Time without a list after which the resolver is reported as silent.
const SILENCE_THRESHOLD: Duration = Duration::from_secs(5);

/// The service to look up.
#[derive(Clone, Debug, PartialEq)]
pub enum Service {
    /// A single set of SRV records that contains the whole list.
    Srv(String),
    /// DNS-SD: PTR records name the instances.
    DnsSd(String),
}

/// Polls the resolver for `service`; never returns. Calls `on_list` with each new list, the time at which it was
/// requested (a drain may have been published at any moment after that) and its version, if lists are versioned.
///
/// `known_serial` is the version of the list that the caller already has. A versioned list is new if its version is
/// later than the known one, an unversioned list if it differs from the previous one. The resolver's address may change
/// at any time; the new address is queried at once, and versions are still compared with the known one. A late answer
/// is used if its list is new. A silent resolver is logged once. `last_list_at` is set to the time of the last list.
pub async fn poll_list(
    mut resolver: watch::Receiver<SocketAddr>,
    service: Service,
    mut known_serial: Option<u32>,
    last_list_at: &LastListTime,
    mut on_list: impl FnMut(Micros, Option<u32>, Vec<ListedServer>),
) {
    let mut previous: Option<Vec<ListedServer>> = None;
    let mut monitor = SilenceMonitor { last_list_at, since: Instant::now(), silent: false };
    loop {
        let server = *resolver.borrow_and_update();
        let mut client = None;
        loop {
            let next_poll = Instant::now() + POLL_INTERVAL;
            let handle_list = |requested_at, (serial, list): (Option<u32>, Vec<ListedServer>)| {
                monitor.record_list();
                let is_new = match (serial, known_serial) {
                    (Some(serial), Some(known)) => is_later(serial, known),
                    (Some(_), None) => true,
                    // Once a version is known, an answer without one is incomplete and is ignored.
                    (None, Some(_)) => false,
                    (None, None) => previous.as_ref() != Some(&list),
                };
                if is_new {
                    (known_serial, previous) = (serial, Some(list.clone()));
                    on_list(requested_at, serial, list);
                }
            };
            let poll = async {
                if client.is_none() {
                    client = QueryClient::connect(server).await;
                }
                if let Some(connected) = &mut client
                    && connected.query_list(&service, next_poll, handle_list).await.is_none()
                {
                    client = None;
                }
                sleep_until(next_poll).await;
            };
            tokio::select! {
                () = poll => {}
                Ok(()) = resolver.changed() => break,
            }
            monitor.check(server);
        }
    }
}

/// Time of the last list received, whether new or not; 0 if none was received.
pub type LastListTime = Cell<Micros>;

/// Logs when the resolver becomes silent and when it answers again.
struct SilenceMonitor<'a> {
    last_list_at: &'a LastListTime,
    since: Instant,
    silent: bool,
}

impl SilenceMonitor<'_> {
    fn record_list(&mut self) {
        self.since = Instant::now();
        self.last_list_at.set(clock::now());
        if std::mem::take(&mut self.silent) {
            tracing::info!("the resolver answers with a list again");
        }
    }

    fn check(&mut self, server: SocketAddr) {
        if !self.silent && self.since.elapsed() >= SILENCE_THRESHOLD {
            self.silent = true;
            tracing::warn!(resolver = %server, "the resolver is silent: the list may be out of date");
        }
    }
}

/// Whether a serial is later than another (RFC 1982). An answer may contain an older list than the previous answer did;
/// applying it would bring back removed servers.
fn is_later(serial: u32, than: u32) -> bool {
    serial.wrapping_sub(than).wrapping_sub(1) < u32::MAX / 2
}

/// A socket to one resolver, and the list queries that are not answered yet.
struct QueryClient {
    socket: UdpSocket,
    /// Query ids and the times at which the queries were sent, oldest first.
    outstanding: VecDeque<(u16, Micros)>,
}

impl QueryClient {
    async fn connect(server: SocketAddr) -> Option<QueryClient> {
        let local: SocketAddr = if server.is_ipv4() {
            (Ipv4Addr::UNSPECIFIED, 0).into()
        } else {
            (Ipv6Addr::UNSPECIFIED, 0).into()
        };
        let socket = UdpSocket::bind(local).await.ok()?;
        socket.connect(server).await.ok()?;
        Some(QueryClient { socket, outstanding: VecDeque::new() })
    }

    /// Sends a query for the list and passes the lists in answers to `handle_list`, until the newest query is answered
    /// or `deadline` is reached. Returns `None` if the socket failed.
    async fn query_list(
        &mut self,
        service: &Service,
        deadline: Instant,
        mut handle_list: impl FnMut(Micros, (Option<u32>, Vec<ListedServer>)),
    ) -> Option<()> {
        let (name, kind) = match service {
            Service::Srv(name) => (name, RecordType::SRV),
            Service::DnsSd(name) => (name, RecordType::PTR),
        };
        let (newest, bytes) = build_query(name, kind).ok()?;
        if self.outstanding.len() >= MAX_OUTSTANDING {
            self.outstanding.pop_front();
        }
        self.outstanding.push_back((newest, clock::now()));
        if self.socket.send(&bytes).await.is_err() {
            // A connected UDP socket reports the ICMP error of an earlier query on the next send, which then sends
            // nothing. Hence the second try.
            self.socket.send(&bytes).await.ok()?;
        }
        let mut answer = vec![0; MAX_ANSWER_BYTES];
        loop {
            let Ok(Ok(size)) = timeout_at(deadline, self.socket.recv(&mut answer)).await else {
                return Some(());
            };
            let mut records = Records::default();
            let Some(index) = self.outstanding.iter().position(|(id, _)| records.read(*id, &answer[..size]))
            else {
                continue;
            };
            // Queries sent before this one are dropped: an answer to them that arrives later may contain an older list,
            // and without versions the list would go back to it.
            let Some((id, requested_at)) = self.outstanding.drain(..=index).next_back() else { continue };
            if self.query_missing_records(service, &mut records).await.is_some() {
                handle_list(requested_at, (records.serial, records.servers()));
            }
            if id == newest {
                return Some(());
            }
        }
    }

    /// Queries the records that an answer did not include. Returns `None` if one of them was not received.
    async fn query_missing_records(&self, service: &Service, records: &mut Records) -> Option<()> {
        if matches!(service, Service::DnsSd(_)) {
            for instance in records.instances.clone() {
                if !records.has_service(&instance) {
                    query_records(&self.socket, &instance.to_ascii(), RecordType::SRV, records).await?;
                    query_records(&self.socket, &instance.to_ascii(), RecordType::TXT, records).await?;
                }
            }
        }
        for host in records.hosts_without_txt() {
            query_records(&self.socket, &host.to_ascii(), RecordType::TXT, records).await?;
        }
        for host in records.hosts_without_address() {
            query_records(&self.socket, &host.to_ascii(), RecordType::A, records).await?;
        }
        Some(())
    }
}

/// Sends one query and collects the records of its answer. Returns `None` if no answer came in time.
async fn query_records(
    socket: &UdpSocket,
    name: &str,
    kind: RecordType,
    records: &mut Records,
) -> Option<()> {
    let (id, bytes) = build_query(name, kind).ok()?;
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    socket.send(&bytes).await.ok()?;
    let mut answer = vec![0; MAX_ANSWER_BYTES];
    loop {
        let size = timeout_at(deadline, socket.recv(&mut answer)).await.ok()?.ok()?;
        if records.read(id, &answer[..size]) {
            return Some(());
        }
    }
}
