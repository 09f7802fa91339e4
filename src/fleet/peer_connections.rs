//! Connections to other members for [`PeerMessage`](cobaltspool_fleet::envelope::PeerMessage)s: one outbound connection a peer, kept
//! while it works. Nobody waits for a peer: what does not fit into its queue is dropped, and what is dropped is sent again by
//! those who need it.
//!
//! [`PeerConnections`] owns a task a peer; the task ends, and its connection with it, when it had nothing to send for a while.

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

/// Maximum number of messages that wait for one peer; further ones are dropped.
const MAX_QUEUED: usize = 64;
/// Maximum number of peers at a time; further ones get nothing.
const MAX_PEERS: usize = 256;
/// A connection is made, and a message written, within this; or the connection is closed and its queue dropped.
const SEND_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Between attempts to connect.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// A connection that had nothing to send for so long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A sealed message, and where its receiver is reached.
struct Outgoing {
    address: SocketAddr,
    frame: Vec<u8>,
}

/// The queues of all peers' tasks.
#[derive(Default)]
pub(super) struct PeerConnections(RefCell<HashMap<MemberId, mpsc::Sender<Outgoing>>>);

impl PeerConnections {
    /// Queues a sealed message; false: it was dropped.
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
