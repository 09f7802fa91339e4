//! The operators' door: a listener of its own, one call a connection. It moves bytes; what a call does is the desk's.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;

use super::Desk;
use super::http::{self, Answer, Read};

/// Most connections at a time; with the servers' they share the half of the descriptors that clients do not get.
const MOST: usize = 16;
/// A call comes whole within this: staff and scrapers send at once, and whoever sends half holds a place.
const WHOLE: Duration = Duration::from_secs(2);
/// The answer is written, and what the caller still sends is read, within this: a close over unread bytes would
/// reset the connection and take the answer with it.
const LAST_WORDS: Duration = Duration::from_secs(1);

/// Opens the door at an address.
pub async fn open(address: SocketAddr) -> Result<TcpListener, String> {
    let named = |e| format!("cannot listen for operators on {address}: {e}; see 'ops' and LB_OPS");
    let listener = TcpListener::bind(address).await.map_err(named)?;
    tracing::info!(door = %listener.local_addr().map_err(named)?, "operators connect here");
    Ok(listener)
}

/// Those who have not sent a whole call yet, the longest here first, with what ends their stay.
type Waiting = Rc<RefCell<VecDeque<Rc<Notify>>>>;

/// Answers calls for ever.
pub async fn serve(desk: Rc<Desk>, listener: TcpListener) {
    let waiting = Waiting::default();
    let places = Rc::new(());
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                tracing::warn!(error = %e, "the operators' door");
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        if Rc::strong_count(&places) > MOST {
            // All places are taken: the one that has said too little for longest makes way. Guards against callers
            // that connect and say nothing.
            let oldest = waiting.borrow_mut().pop_front();
            match oldest {
                Some(oldest) => oldest.notify_one(),
                None => continue, // all are being answered; this one is closed and may come again
            }
        }
        let leave = Rc::new(Notify::new());
        waiting.borrow_mut().push_back(leave.clone());
        let (desk, waiting, place) = (desk.clone(), waiting.clone(), places.clone());
        tokio::task::spawn_local(async move {
            call(&desk, stream, &leave, &waiting).await;
            drop(place);
        });
        // What makes way is gone before the next comes.
        tokio::task::yield_now().await;
    }
}

async fn call(desk: &Desk, mut stream: TcpStream, leave: &Rc<Notify>, waiting: &Waiting) {
    let mut buffer = BytesMut::with_capacity(512);
    let read = tokio::select! {
        read = timeout(WHOLE, whole(&mut stream, &mut buffer)) => read.unwrap_or(Some(Read::Bad(408))),
        () = leave.notified() => None,
    };
    waiting.borrow_mut().retain(|other| !Rc::ptr_eq(other, leave));
    let (answer, head_only) = match read {
        Some(Read::Call(method, path)) => (desk.answer(&method, &path), method == "HEAD"),
        Some(Read::Bad(status)) => (Answer::plain(status), false),
        Some(Read::More) | None => return,
    };
    let said = async {
        stream.write_all(&answer.to_bytes(head_only)).await?;
        stream.shutdown().await?;
        let mut rest = [0; 512];
        while stream.read(&mut rest).await? > 0 {}
        Ok::<_, std::io::Error>(())
    };
    let _ = timeout(LAST_WORDS, said).await;
}

/// Reads until there is a call, or none can come; `None`: the caller has left.
async fn whole(stream: &mut TcpStream, buffer: &mut BytesMut) -> Option<Read> {
    loop {
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
        match http::read(buffer) {
            Read::More => {}
            read => return Some(read),
        }
    }
}
