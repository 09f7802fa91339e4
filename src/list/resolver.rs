//! Asks the resolver for the list again and again, over UDP, and hands on every list that is new.

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
/// change at any time; the new one is asked at once, and the numbers go on.
pub async fn follow(
    mut resolver: watch::Receiver<SocketAddr>,
    service: Service,
    mut seq: Option<u32>,
    mut on_list: impl FnMut(Micros, Option<u32>, Vec<Listed>),
) {
    let mut last: Option<Vec<Listed>> = None;
    loop {
        let server = *resolver.borrow_and_update();
        let next = Instant::now() + PERIOD;
        let asked = clock::now();
        let answer = tokio::select! {
            answer = ask(server, &service) => answer,
            Ok(()) = resolver.changed() => continue,
        };
        if let Some((serial, list)) = answer {
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
        }
        tokio::select! {
            () = sleep_until(next) => {}
            Ok(()) = resolver.changed() => {}
        }
    }
}

/// Whether a serial is later than another (RFC 1982). An answer may hold an older list than one before it; taken,
/// it would bring back servers that are gone.
fn is_later(serial: u32, than: u32) -> bool {
    serial.wrapping_sub(than).wrapping_sub(1) < u32::MAX / 2
}

/// The list as it is now; `None` where an answer did not come.
async fn ask(server: SocketAddr, service: &Service) -> Option<(Option<u32>, Vec<Listed>)> {
    let own: SocketAddr =
        if server.is_ipv4() { (Ipv4Addr::UNSPECIFIED, 0).into() } else { (Ipv6Addr::UNSPECIFIED, 0).into() };
    let socket = UdpSocket::bind(own).await.ok()?;
    socket.connect(server).await.ok()?;
    let mut records = Records::default();
    match service {
        Service::Srv(name) => exchange(&socket, name, RecordType::SRV, &mut records).await?,
        Service::DnsSd(name) => {
            exchange(&socket, name, RecordType::PTR, &mut records).await?;
            for instance in records.instances.clone() {
                if !records.has_service(&instance) {
                    exchange(&socket, &instance.to_ascii(), RecordType::SRV, &mut records).await?;
                    exchange(&socket, &instance.to_ascii(), RecordType::TXT, &mut records).await?;
                }
            }
        }
    }
    // A helpful resolver sends the rest along; what it left out is asked for.
    for host in records.undescribed() {
        exchange(&socket, &host.to_ascii(), RecordType::TXT, &mut records).await?;
    }
    for host in records.homeless() {
        exchange(&socket, &host.to_ascii(), RecordType::A, &mut records).await?;
    }
    Some((records.serial, records.servers()))
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
