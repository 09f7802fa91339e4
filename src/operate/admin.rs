//! The HTTP endpoint for operators. It has its own listener and serves one request per connection. This module does the
//! I/O; [`AdminService`] handles the requests.

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

/// Maximum number of connections. They share the half of the file descriptors that is not reserved for clients with the
/// connections to servers.
const MAX_CONNECTIONS: usize = 16;
/// Time limit for receiving a complete request. Operators and scrapers send it at once; an incomplete request occupies
/// a connection.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for writing the response and then draining what the client still sends. Closing a socket with unread
/// bytes would reset the connection, and the client could lose the response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The endpoint's address cannot be bound.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen for operators on {address}: {source}; see 'ops' and LB_OPS")]
pub struct ListenError {
    address: SocketAddr,
    source: io::Error,
}

/// Binds the endpoint's address.
///
/// # Errors
/// If the address cannot be bound.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, ListenError> {
    let failed = |source| ListenError { address, source };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    tracing::info!(door = %listener.local_addr().map_err(failed)?, "operators connect here");
    Ok(listener)
}

/// Connections that have not sent a complete request yet, oldest first; each is represented by the [`Notify`] that
/// closes it.
type IncompleteRequests = Rc<RefCell<VecDeque<Rc<Notify>>>>;

/// Accepts connections and never returns. Each connection runs in its own task, whose duration the time limits bound.
pub async fn serve(service: Rc<AdminService>, listener: TcpListener) {
    let incomplete = IncompleteRequests::default();
    let connections = Rc::new(());
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                tracing::warn!(error = %e, "cannot accept a connection on the admin endpoint");
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        if Rc::strong_count(&connections) > MAX_CONNECTIONS {
            // Closes the oldest connection without a complete request, so that clients which connect and send nothing
            // cannot block the endpoint.
            let oldest = incomplete.borrow_mut().pop_front();
            match oldest {
                Some(oldest) => oldest.notify_one(),
                None => continue, // all others are being answered: drops the new connection; its client may retry
            }
        }
        let close = Rc::new(Notify::new());
        incomplete.borrow_mut().push_back(close.clone());
        let (service, incomplete, connection) = (service.clone(), incomplete.clone(), connections.clone());
        tokio::task::spawn_local(async move {
            serve_connection(&service, stream, &close, &incomplete).await;
            drop(connection);
        });
        // Lets the task of the closed connection end before the next accept.
        tokio::task::yield_now().await;
    }
}

async fn serve_connection(
    service: &AdminService,
    mut stream: TcpStream,
    close: &Rc<Notify>,
    incomplete: &IncompleteRequests,
) {
    let mut buffer = BytesMut::with_capacity(512);
    let read = tokio::select! {
        read = timeout(REQUEST_TIMEOUT, read_request(&mut stream, &mut buffer)) => {
            read.unwrap_or(Some(ParseResult::Invalid(408)))
        }
        () = close.notified() => None,
    };
    incomplete.borrow_mut().retain(|other| !Rc::ptr_eq(other, close));
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

/// Reads until the request is complete or invalid; `None` if the client has closed the connection.
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
