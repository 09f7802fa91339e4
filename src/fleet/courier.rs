//! Parcels on their way: one connection to each receiver, kept while it works. Nobody waits for a receiver: what does not fit into its
//! queue is dropped, and what is dropped is said again by those who need it.

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

use super::stream;

/// Parcels that wait for one receiver, at most; further ones are dropped.
const WAITING: usize = 64;
/// Receivers at a time; further ones get nothing.
const RECEIVERS: usize = 256;
/// A connection is made, and a parcel written, within this; or the connection is given up with all that waits for it.
const PATIENCE: Duration = Duration::from_millis(1_000);
/// Between tries.
const AGAIN: Duration = Duration::from_millis(100);
/// A connection that had nothing to carry for so long is closed.
const IDLE: Duration = Duration::from_secs(10);

/// A sealed parcel, and where its receiver is reached.
type Addressed = (SocketAddr, Vec<u8>);

/// See the module.
#[derive(Default)]
pub(super) struct Couriers(RefCell<HashMap<MemberId, mpsc::Sender<Addressed>>>);

impl Couriers {
    /// Sends a sealed parcel; false: it was dropped.
    pub fn send(self: &Rc<Self>, to: &MemberId, address: SocketAddr, bytes: Vec<u8>) -> bool {
        let mut all = self.0.borrow_mut();
        if !all.contains_key(to) {
            if all.len() >= RECEIVERS {
                return false;
            }
            let (courier, parcels) = mpsc::channel(WAITING);
            all.insert(to.clone(), courier);
            let (couriers, whom) = (self.clone(), to.clone());
            tokio::task::spawn_local(async move {
                carry(parcels).await;
                couriers.0.borrow_mut().remove(&whom);
            });
        }
        all.get(to).is_some_and(|courier| courier.try_send((address, bytes)).is_ok())
    }
}

async fn carry(mut parcels: mpsc::Receiver<Addressed>) {
    let mut held: Option<(SocketAddr, TcpStream)> = None;
    while let Ok(Some((address, bytes))) = timeout(IDLE, parcels.recv()).await {
        let sent = timeout(PATIENCE, async {
            let (_, stream) = match held.as_mut().filter(|(at, _)| *at == address) {
                Some(held) => held,
                None => held.insert((address, TcpStream::connect(address).await?)),
            };
            stream::write(stream, &bytes).await?;
            Ok::<_, io::Error>(())
        });
        if !matches!(sent.await, Ok(Ok(()))) {
            held = None;
            while parcels.try_recv().is_ok() {}
            sleep(AGAIN).await;
        }
    }
}
