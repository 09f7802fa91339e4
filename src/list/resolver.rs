//! Polls the DNS resolver for the server list over UDP and reports every new list.

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

/// Polling interval. Sends to a draining server must end within a fixed time after the drain is published, and the
/// interval is part of that time.
pub const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time to wait for an answer before the query is sent again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 8192;
/// Maximum number of outstanding queries; beyond it the oldest is dropped. An answer may arrive after the next query was
/// sent, and is still used.
const MAX_OUTSTANDING: usize = 24;
/// Time without a list after which the resolver counts as silent.
const SILENCE_THRESHOLD: Duration = Duration::from_secs(5);

/// The service to look up.
#[derive(Clone, Debug, PartialEq)]
pub enum Service {
    /// One SRV set that holds the whole list.
    Srv(String),
    /// DNS-SD: PTR records name the instances.
    DnsSd(String),
}

/// Polls the resolver for `service` without end. Calls `on_list` with every list that differs from the previous one, the
/// time at which it was requested (a drain may count as published from any moment after that) and its version, if lists
/// are versioned.
///
/// `seq` is the version of the list already known. The resolver's address may change at any time; the new one is queried
/// at once and versions continue. A late answer is used if it is newer than the known list. A silent resolver is logged
/// once; `heard` holds the time of the last list.
pub async fn poll_list(
    mut resolver: watch::Receiver<SocketAddr>,
    service: Service,
    mut seq: Option<u32>,
    heard: &LastListTime,
    mut on_list: impl FnMut(Micros, Option<u32>, Vec<ListedServer>),
) {
    let mut last: Option<Vec<ListedServer>> = None;
    let mut watch = Watch { heard, since: Instant::now(), silent: false };
    loop {
        let server = *resolver.borrow_and_update();
        let mut socket = None;
        loop {
            let next = Instant::now() + POLL_INTERVAL;
            let take = |asked, (serial, list): (Option<u32>, Vec<ListedServer>)| {
                watch.heard();
                let new = match (serial, seq) {
                    (Some(serial), Some(seq)) => is_later(serial, seq),
                    (Some(_), None) => true,
                    // Numbers that have begun do not end: it is no whole answer.
                    (None, Some(_)) => false,
                    (None, None) => last.as_ref() != Some(&list),
                };
                if new {
                    (seq, last) = (serial, Some(list.clone()));
                    on_list(asked, serial, list);
                }
            };
            let asks = async {
                if socket.is_none() {
                    socket = Questions::to(server).await;
                }
                if let Some(questions) = &mut socket
                    && questions.ask(&service, next, take).await.is_none()
                {
                    socket = None;
                }
                sleep_until(next).await;
            };
            tokio::select! {
                () = asks => {}
                Ok(()) = resolver.changed() => break,
            }
            watch.look(server);
        }
    }
}

/// Time of the last list received, new or not; 0 if none was.
pub type LastListTime = Cell<Micros>;

/// Logs when the resolver falls silent.
struct Watch<'a> {
    heard: &'a LastListTime,
    since: Instant,
    silent: bool,
}

impl Watch<'_> {
    fn heard(&mut self) {
        self.since = Instant::now();
        self.heard.set(clock::now());
        if std::mem::take(&mut self.silent) {
            tracing::info!("the resolver tells the list again");
        }
    }

    fn look(&mut self, server: SocketAddr) {
        if !self.silent && self.since.elapsed() >= SILENCE_THRESHOLD {
            self.silent = true;
            tracing::warn!(resolver = %server, "the resolver is silent: the list may be old");
        }
    }
}

/// Whether a serial is later than another (RFC 1982). An answer may hold an older list than the previous one; applying it
/// would bring back removed servers.
fn is_later(serial: u32, than: u32) -> bool {
    serial.wrapping_sub(than).wrapping_sub(1) < u32::MAX / 2
}

/// A socket to one resolver, and the queries for the list that are not answered yet.
struct Questions {
    socket: UdpSocket,
    /// Query ids and the times they were sent, oldest first.
    open: VecDeque<(u16, Micros)>,
}

impl Questions {
    async fn to(server: SocketAddr) -> Option<Questions> {
        let own: SocketAddr = if server.is_ipv4() {
            (Ipv4Addr::UNSPECIFIED, 0).into()
        } else {
            (Ipv6Addr::UNSPECIFIED, 0).into()
        };
        let socket = UdpSocket::bind(own).await.ok()?;
        socket.connect(server).await.ok()?;
        Some(Questions { socket, open: VecDeque::new() })
    }

    /// Queries the list and reports answers until the newest query is answered, or until `next`; `None` if the socket
    /// failed.
    async fn ask(
        &mut self,
        service: &Service,
        next: Instant,
        mut take: impl FnMut(Micros, (Option<u32>, Vec<ListedServer>)),
    ) -> Option<()> {
        let (name, kind) = match service {
            Service::Srv(name) => (name, RecordType::SRV),
            Service::DnsSd(name) => (name, RecordType::PTR),
        };
        let (newest, bytes) = build_query(name, kind).ok()?;
        if self.open.len() >= MAX_OUTSTANDING {
            self.open.pop_front();
        }
        self.open.push_back((newest, clock::now()));
        if self.socket.send(&bytes).await.is_err() {
            // What an earlier question met is told to the next one, which has not gone out then.
            self.socket.send(&bytes).await.ok()?;
        }
        let mut answer = vec![0; MAX_ANSWER_BYTES];
        loop {
            let Ok(Ok(size)) = timeout_at(next, self.socket.recv(&mut answer)).await else { return Some(()) };
            let mut records = Records::default();
            let Some(place) = self.open.iter().position(|(id, _)| records.read(*id, &answer[..size])) else {
                continue;
            };
            // What was asked before this one and is answered after it may be older: lists without numbers would go back.
            let Some((id, asked)) = self.open.drain(..=place).next_back() else { continue };
            if self.complete(service, &mut records).await.is_some() {
                take(asked, (records.serial, records.servers()));
            }
            if id == newest {
                return Some(());
            }
        }
    }

    /// Queries the records that an answer did not include.
    async fn complete(&self, service: &Service, records: &mut Records) -> Option<()> {
        if matches!(service, Service::DnsSd(_)) {
            for instance in records.instances.clone() {
                if !records.has_service(&instance) {
                    exchange(&self.socket, &instance.to_ascii(), RecordType::SRV, records).await?;
                    exchange(&self.socket, &instance.to_ascii(), RecordType::TXT, records).await?;
                }
            }
        }
        for host in records.hosts_without_txt() {
            exchange(&self.socket, &host.to_ascii(), RecordType::TXT, records).await?;
        }
        for host in records.hosts_without_address() {
            exchange(&self.socket, &host.to_ascii(), RecordType::A, records).await?;
        }
        Some(())
    }
}

async fn exchange(socket: &UdpSocket, name: &str, kind: RecordType, records: &mut Records) -> Option<()> {
    let (id, bytes) = build_query(name, kind).ok()?;
    let until = Instant::now() + ANSWER_TIMEOUT;
    socket.send(&bytes).await.ok()?;
    let mut answer = vec![0; MAX_ANSWER_BYTES];
    loop {
        let size = timeout_at(until, socket.recv(&mut answer)).await.ok()?.ok()?;
        if records.read(id, &answer[..size]) {
            return Some(());
        }
    }
}
