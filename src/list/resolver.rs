//! Asks the resolver for the list again and again, over UDP, and hands on every list that is new.

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

use super::Listed;
use super::dns::{Records, question};

/// How often the list is asked for. A drain counts as told a while after it is there to be asked for, so
/// asking seldom would spend the window in which sends must end.
pub const PERIOD: Duration = Duration::from_millis(250);
/// How long one answer may take before the question is asked again: datagrams get lost.
const ANSWER: Duration = Duration::from_millis(250);
/// The largest answer.
const ANSWER_BYTES: usize = 8192;
/// Questions whose answers may still come, at most; beyond it the oldest is let go. Answers may be later than the next
/// question, and a list that is taken late is better than none.
const MAX_OPEN: usize = 24;
/// A resolver from which no list came for this long is silent.
const SILENT: Duration = Duration::from_secs(5);

/// What is asked for.
#[derive(Clone, Debug, PartialEq)]
pub enum Service {
    /// One SRV set that holds the whole list.
    Srv(String),
    /// DNS-SD: PTR records name the instances.
    DnsSd(String),
}

/// Asks the resolver for `service` for ever, and gives `on_list` every list that differs from the one before,
/// with the time at which it was asked for and its number, where lists are numbered: a drain may count as told from any moment after that.
/// `seq` is the number of the list that is known already, where lists are numbered. The resolver's address may
/// change at any time; the new one is asked at once, and the numbers go on. An answer that comes after later questions is
/// taken all the same, if it is newer than what is known. A resolver that falls silent is logged, once; `heard` holds when it
/// last told a list.
pub async fn follow(
    mut resolver: watch::Receiver<SocketAddr>,
    service: Service,
    mut seq: Option<u32>,
    heard: &Heard,
    mut on_list: impl FnMut(Micros, Option<u32>, Vec<Listed>),
) {
    let mut last: Option<Vec<Listed>> = None;
    let mut watch = Watch { heard, since: Instant::now(), silent: false };
    loop {
        let server = *resolver.borrow_and_update();
        let mut socket = None;
        loop {
            let next = Instant::now() + PERIOD;
            let take = |asked, (serial, list): (Option<u32>, Vec<Listed>)| {
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

/// When a list last came, new or not; 0: never.
pub type Heard = Cell<Micros>;

/// Watches for a resolver that falls silent.
struct Watch<'a> {
    heard: &'a Heard,
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
        if !self.silent && self.since.elapsed() >= SILENT {
            self.silent = true;
            tracing::warn!(resolver = %server, "the resolver is silent: the list may be old");
        }
    }
}

/// Whether a serial is later than another (RFC 1982). An answer may hold an older list than one before it; taken,
/// it would bring back servers that are gone.
fn is_later(serial: u32, than: u32) -> bool {
    serial.wrapping_sub(than).wrapping_sub(1) < u32::MAX / 2
}

/// One resolver's socket, and the questions for the list that have no answer yet.
struct Questions {
    socket: UdpSocket,
    /// Their ids and when they were asked, the oldest first.
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

    /// Asks for the list, and hands on what comes until the newest question has its answer, or until `next`; `None` if the
    /// socket is of no use.
    async fn ask(
        &mut self,
        service: &Service,
        next: Instant,
        mut take: impl FnMut(Micros, (Option<u32>, Vec<Listed>)),
    ) -> Option<()> {
        let (name, kind) = match service {
            Service::Srv(name) => (name, RecordType::SRV),
            Service::DnsSd(name) => (name, RecordType::PTR),
        };
        let (newest, bytes) = question(name, kind).ok()?;
        if self.open.len() >= MAX_OPEN {
            self.open.pop_front();
        }
        self.open.push_back((newest, clock::now()));
        if self.socket.send(&bytes).await.is_err() {
            // What an earlier question met is told to the next one, which has not gone out then.
            self.socket.send(&bytes).await.ok()?;
        }
        let mut answer = vec![0; ANSWER_BYTES];
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

    /// Asks for what an answer has left out; a helpful resolver sends it along.
    async fn complete(&self, service: &Service, records: &mut Records) -> Option<()> {
        if matches!(service, Service::DnsSd(_)) {
            for instance in records.instances.clone() {
                if !records.has_service(&instance) {
                    exchange(&self.socket, &instance.to_ascii(), RecordType::SRV, records).await?;
                    exchange(&self.socket, &instance.to_ascii(), RecordType::TXT, records).await?;
                }
            }
        }
        for host in records.undescribed() {
            exchange(&self.socket, &host.to_ascii(), RecordType::TXT, records).await?;
        }
        for host in records.homeless() {
            exchange(&self.socket, &host.to_ascii(), RecordType::A, records).await?;
        }
        Some(())
    }
}

async fn exchange(socket: &UdpSocket, name: &str, kind: RecordType, records: &mut Records) -> Option<()> {
    let (id, bytes) = question(name, kind).ok()?;
    let until = Instant::now() + ANSWER;
    socket.send(&bytes).await.ok()?;
    let mut answer = vec![0; ANSWER_BYTES];
    loop {
        let size = timeout_at(until, socket.recv(&mut answer)).await.ok()?.ok()?;
        if records.read(id, &answer[..size]) {
            return Some(());
        }
    }
}
