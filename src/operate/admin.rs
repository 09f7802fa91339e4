//! The operators' HTTP endpoint: a listener of its own, one call a connection. It moves bytes; what a call does is
//! [`AdminService`]'s.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;

use super::AdminService;
use super::http::{self, ParseResult, Response};

/// Maximum number of connections; with the servers' they share the half of the descriptors that clients do not get.
const MAX_CONNECTIONS: usize = 16;
/// A call comes whole within this: operators and scrapers send at once, and whoever sends half holds a connection.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The answer is written, and what the caller still sends is read, within this: a close over unread bytes would reset the
/// connection and take the answer with it.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The endpoint cannot listen.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen for operators on {address}: {source}; see 'ops' and LB_OPS")]
pub struct ListenError {
    address: SocketAddr,
    source: io::Error,
}

/// Listens at an address.
///
/// # Errors
/// Where the address cannot be bound.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, ListenError> {
    let failed = |source| ListenError { address, source };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    tracing::info!(door = %listener.local_addr().map_err(failed)?, "operators connect here");
    Ok(listener)
}

/// Connections that have not sent a whole call yet, the oldest first, each with what closes it.
type Unfinished = Rc<RefCell<VecDeque<Rc<Notify>>>>;

/// Answers calls for ever. Each connection is a task of its own, which ends by its timeouts.
pub async fn serve(service: Rc<AdminService>, listener: TcpListener) {
    let unfinished = Unfinished::default();
    let connections = Rc::new(());
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                tracing::warn!(error = %e, "the operators' endpoint");
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        if Rc::strong_count(&connections) > MAX_CONNECTIONS {
            // The connection that has sent too little for longest makes way. Guards against callers that connect and send
            // nothing.
            let oldest = unfinished.borrow_mut().pop_front();
            match oldest {
                Some(oldest) => oldest.notify_one(),
                None => continue, // all are being answered; this one is closed and may come again
            }
        }
        let close = Rc::new(Notify::new());
        unfinished.borrow_mut().push_back(close.clone());
        let (service, unfinished, connection) = (service.clone(), unfinished.clone(), connections.clone());
        tokio::task::spawn_local(async move {
            serve_connection(&service, stream, &close, &unfinished).await;
            drop(connection);
        });
        // What makes way is gone before the next comes.
        tokio::task::yield_now().await;
    }
}

async fn serve_connection(
    service: &AdminService,
    mut stream: TcpStream,
    close: &Rc<Notify>,
    unfinished: &Unfinished,
) {
    let mut buffer = BytesMut::with_capacity(512);
    let read = tokio::select! {
        read = timeout(REQUEST_TIMEOUT, read_request(&mut stream, &mut buffer)) => {
            read.unwrap_or(Some(ParseResult::Invalid(408)))
        }
        () = close.notified() => None,
    };
    unfinished.borrow_mut().retain(|other| !Rc::ptr_eq(other, close));
    let (answer, is_head) = match read {
        Some(ParseResult::Request(method, path)) => {
            (service.handle_request(&method, &path), method == "HEAD")
        }
        Some(ParseResult::Invalid(status)) => (Response::from_status(status), false),
        Some(ParseResult::Incomplete) | None => return,
    };
    let write = async {
        stream.write_all(&answer.to_bytes(is_head)).await?;
        stream.shutdown().await?;
        let mut rest = [0; 512];
        while stream.read(&mut rest).await? > 0 {}
        Ok::<_, io::Error>(())
    };
    let _ = timeout(RESPONSE_TIMEOUT, write).await;
}

/// Reads until there is a call, or none can come; `None`: the caller has left.
async fn read_request(stream: &mut TcpStream, buffer: &mut BytesMut) -> Option<ParseResult> {
    loop {
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
        match http::parse_request(buffer) {
            ParseResult::Incomplete => {}
            read => return Some(read),
        }
    }
}
