//! Connections to other members for [`PeerMessage`](cobaltspool_fleet::envelope::PeerMessage)s: one outbound
//! connection per peer, reused until it fails. Sending never blocks: a message that does not fit into the peer's
//! queue is dropped, and the protocol that needs it sends it again.
//!
//! [`PeerConnections`] owns one task per peer. The task and its connection end after [`IDLE_TIMEOUT`] without a
//! message.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cobaltspool_fleet::member::MemberId;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use super::framing;

/// Maximum number of queued messages per peer; further ones are dropped.
const MAX_QUEUED: usize = 64;
/// Maximum number of peers at a time; messages to further ones are dropped.
const MAX_PEERS: usize = 256;
/// Time within which the connection must be open and a message written. Otherwise the connection is closed and the
/// queued messages are dropped.
const SEND_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay after a failed attempt to connect or to write.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// A connection is closed after this time without a message to send.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A sealed message and the address of its receiver.
struct Outgoing {
    address: SocketAddr,
    frame: Vec<u8>,
}

/// The queue of each peer's task.
#[derive(Default)]
pub(super) struct PeerConnections(RefCell<HashMap<MemberId, mpsc::Sender<Outgoing>>>);

impl PeerConnections {
    /// Queues a sealed message. Returns false if it was dropped.
    pub fn send(self: &Rc<Self>, to: &MemberId, address: SocketAddr, frame: Vec<u8>) -> bool {
        let mut queues = self.0.borrow_mut();
        if !queues.contains_key(to) {
            if queues.len() >= MAX_PEERS {
                return false;
            }
            let (queue, messages) = mpsc::channel(MAX_QUEUED);
            queues.insert(to.clone(), queue);
            let (connections, peer) = (self.clone(), to.clone());
            tokio::task::spawn_local(async move {
                run_connection(messages).await;
                connections.0.borrow_mut().remove(&peer);
            });
        }
        queues.get(to).is_some_and(|queue| queue.try_send(Outgoing { address, frame }).is_ok())
    }
}

async fn run_connection(mut messages: mpsc::Receiver<Outgoing>) {
    let mut connection: Option<(SocketAddr, TcpStream)> = None;
    while let Ok(Some(Outgoing { address, frame })) = timeout(IDLE_TIMEOUT, messages.recv()).await {
        let sent = timeout(SEND_TIMEOUT, async {
            let (_, stream) = match connection.as_mut().filter(|(peer, _)| *peer == address) {
                Some(open) => open,
                None => connection.insert((address, TcpStream::connect(address).await?)),
            };
            framing::write_frame(stream, &frame).await?;
            Ok::<_, io::Error>(())
        });
        if !matches!(sent.await, Ok(Ok(()))) {
            connection = None;
            while messages.try_recv().is_ok() {}
            sleep(RETRY_DELAY).await;
        }
    }
}
