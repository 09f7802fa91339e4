//! A connection's input buffer, its bounded output queue, and the loop that reads and writes. The loop never blocks
//! on a peer that does not read.
//!
//! It follows three rules:
//!
//! - Pending input is read before more output is written, so that a close by the peer is noticed first and the peer's
//!   last input is read even if writing fails.
//! - A queued message can be withdrawn until its first byte has been handed to the operating system.
//! - An idle close is cancelled if input from the peer arrived before it.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt, Interest};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UnixStream, tcp, unix};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// Maximum size of the output queue in bytes. A connection whose queue would exceed it is closed.
const MAX_OUTBOX_BYTES: usize = 256 * 1024;
/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// Initial capacity of the input buffer, which grows for larger messages.
const INITIAL_BUFFER_BYTES: usize = 2 * 1024;

/// Opens a listener whose address another process of the same user may share: during an upgrade the new process starts
/// while the old one is still running.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    if let Err(e) = socket.set_reuseport(true) {
        tracing::warn!(error = %e, "cannot share the listen address (SO_REUSEPORT): upgrades will refuse connections");
    }
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Which side ended a connection in good order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndedBy {
    /// The peer closed it.
    Peer,
    /// This side closed it. The peer detects that only once the link carries it.
    ThisSide,
}

/// Identifies a message in an outbox. Tickets increase in the order in which messages are queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// The output queue of a connection.
#[derive(Default)]
pub struct Outbox {
    queue: RefCell<OutboxQueue>,
    wake: Notify,
    closing: Cell<Closing>,
    has_peer_closed: Cell<bool>,
}

/// Whether a connection's close has been requested.
#[derive(Clone, Copy, Default, PartialEq)]
enum Closing {
    #[default]
    No,
    /// Close requested for an idle connection: pending input is read first and may cancel the close.
    IfIdle,
    /// Close requested unconditionally.
    Now,
}

#[derive(Default)]
struct OutboxQueue {
    bytes: BytesMut,
    /// Ticket and unwritten size of each message in `bytes`, in order.
    messages: VecDeque<(Ticket, usize)>,
    /// Whether part of the first message has been written.
    is_first_partly_written: bool,
    /// Ticket number of the most recently queued message.
    last_ticket: u64,
}

impl OutboxQueue {
    fn add(&mut self, message: &[u8]) -> Ticket {
        self.last_ticket += 1;
        self.bytes.extend_from_slice(message);
        self.messages.push_back((Ticket(self.last_ticket), message.len()));
        Ticket(self.last_ticket)
    }

    fn remove_written(&mut self, mut size: usize) {
        self.bytes.advance(size);
        self.is_first_partly_written |= size > 0;
        while let Some((_, left)) = self.messages.front_mut() {
            if size < *left {
                *left -= size;
                return;
            }
            size -= *left;
            self.messages.pop_front();
            self.is_first_partly_written = size > 0;
        }
    }

    /// Offset, index and size of a queued message; `None` if any part of it has been written.
    fn find(&self, ticket: Ticket) -> Option<(usize, usize, usize)> {
        let index = self.messages.iter().position(|(t, _)| *t == ticket)?;
        let offset = self.messages.iter().take(index).map(|(_, size)| size).sum();
        (index > 0 || !self.is_first_partly_written).then(|| (offset, index, self.messages[index].1))
    }
}

impl Outbox {
    /// Queues a message and cancels a pending idle close. Returns `None` if the connection is closed; if the queue is
    /// full, closes it and returns `None`.
    pub fn push(&self, message: &[u8]) -> Option<Ticket> {
        if !self.cancel_idle_close() {
            return None;
        }
        if self.queued_bytes() + message.len() > MAX_OUTBOX_BYTES {
            self.close();
            return None;
        }
        self.wake.notify_one();
        Some(self.queue.borrow_mut().add(message))
    }

    /// Withdraws a queued message; false if it has been written in part or in full.
    pub fn withdraw(&self, ticket: Ticket) -> bool {
        let mut queue = self.queue.borrow_mut();
        let Some((start, index, size)) = queue.find(ticket) else { return false };
        queue.messages.remove(index);
        let mut rest = queue.bytes.split_off(start);
        rest.advance(size);
        queue.bytes.unsplit(rest);
        true
    }

    /// Whether a message has been written in full. Not meaningful for a withdrawn message.
    pub fn has_written(&self, ticket: Ticket) -> bool {
        let queue = self.queue.borrow();
        queue.messages.front().is_none_or(|(first, _)| ticket < *first)
    }

    /// Drops everything not yet written.
    pub fn clear(&self) {
        let mut queue = self.queue.borrow_mut();
        queue.bytes.clear();
        queue.messages.clear();
    }

    /// Number of bytes still to be written.
    pub fn queued_bytes(&self) -> usize {
        self.queue.borrow().bytes.len()
    }

    /// Whether everything has been written.
    pub fn is_empty(&self) -> bool {
        self.queued_bytes() == 0
    }

    /// Closes the connection after writing as much of the queue as is possible without blocking.
    pub fn close(&self) {
        self.closing.set(Closing::Now);
        self.wake.notify_one();
    }

    /// Closes an idle connection, unless pending input or a new message cancels the close.
    pub fn close_if_idle(&self) {
        if self.closing.get() == Closing::No {
            self.closing.set(Closing::IfIdle);
            self.wake.notify_one();
        }
    }

    /// Cancels a pending idle close; false if the connection is closed.
    pub fn cancel_idle_close(&self) -> bool {
        if self.closing.get() == Closing::IfIdle {
            self.closing.set(Closing::No);
        }
        self.is_open()
    }

    /// Whether the peer is known to have closed its side, although input from before that may still be unread.
    pub fn has_peer_closed(&self) -> bool {
        self.has_peer_closed.get()
    }

    /// Whether the connection is open and no close is pending.
    pub fn is_open(&self) -> bool {
        self.closing.get() == Closing::No
    }

    /// Writes as much of the queue as is possible without blocking, after the connection's loop has ended.
    pub fn flush_without_blocking(&self, stream: &impl SplitStream) {
        let mut queue = self.queue.borrow_mut();
        let size = stream.flush_without_blocking(&queue.bytes).unwrap_or(0);
        queue.remove_written(size);
    }
}

/// A stream that can be split into its read half and its write half.
pub trait SplitStream {
    /// Borrows the stream as a read half and a write half.
    fn split_halves(&mut self) -> (impl InputHalf, impl TryWrite);

    /// Writes as much of `bytes` as is possible without blocking, before the stream is dropped. Returns the number of
    /// bytes written.
    fn flush_without_blocking(&self, bytes: &[u8]) -> io::Result<usize>;
}

/// The read half of a stream.
pub trait InputHalf: AsyncRead + Unpin {
    /// Whether the system has reported that the peer has closed its side, also while input from before is unread.
    fn is_closed_by_peer(&self) -> bool;
}

/// The write half of a stream.
pub trait TryWrite {
    /// Writes as much of `bytes` as is possible without blocking. Returns the number of bytes written.
    fn try_write_bytes(&self, bytes: &[u8]) -> io::Result<usize>;

    /// Waits until the stream is writable.
    fn wait_writable(&self) -> impl Future<Output = io::Result<()>>;
}

macro_rules! impl_stream {
    ($stream:ty, $in:ty, $out:ty, $start:expr) => {
        impl InputHalf for $in {
            fn is_closed_by_peer(&self) -> bool {
                let ready = std::pin::pin!(self.ready(Interest::READABLE));
                let polled = ready.poll(&mut Context::from_waker(Waker::noop()));
                matches!(polled, Poll::Ready(Ok(ready)) if ready.is_read_closed())
            }
        }

        impl SplitStream for $stream {
            fn split_halves(&mut self) -> (impl InputHalf, impl TryWrite) {
                $start(&*self);
                self.split()
            }

            fn flush_without_blocking(&self, bytes: &[u8]) -> io::Result<usize> {
                self.try_write(bytes)
            }
        }

        impl TryWrite for $out {
            fn try_write_bytes(&self, bytes: &[u8]) -> io::Result<usize> {
                self.try_write(bytes)
            }

            async fn wait_writable(&self) -> io::Result<()> {
                self.writable().await
            }
        }
    };
}

impl_stream!(TcpStream, tcp::ReadHalf<'_>, tcp::WriteHalf<'_>, |s: &TcpStream| drop(s.set_nodelay(true)));
impl_stream!(UnixStream, unix::ReadHalf<'_>, unix::WriteHalf<'_>, |_: &UnixStream| ());

/// Number of scheduler turns after which pending input has been read: one in which the runtime polls its sockets (the
/// previous poll may have returned for timers only), and one in which the reading tasks run.
const YIELDS_TO_READ_PENDING: usize = 2;
/// Number of consecutive reads after which the reader yields to the writer, so that a peer that sends continuously is
/// still answered.
const READS_PER_YIELD: u64 = 16;

/// Returns after all currently pending input has been read by the reading tasks.
pub async fn read_pending_input() {
    for _ in 0..YIELDS_TO_READ_PENDING {
        tokio::task::yield_now().await;
    }
}

/// Reads and writes a connection until it ends. `on_bytes` removes complete messages from the front of the buffer and
/// leaves the rest; it returns false to end the connection. `on_drained` is called when everything queued has been
/// written. A message must be complete within `message_timeout` of its first byte, because a peer that stops in the
/// middle of a message blocks all later ones.
///
/// Output that is still queued after the peer has closed the connection is left to the calling function, which may
/// withdraw it or write it ([`Outbox::flush_without_blocking`]).
pub async fn run(
    stream: &mut impl SplitStream,
    outbox: &Outbox,
    message_timeout: Duration,
    on_bytes: impl FnMut(&mut BytesMut) -> bool,
    on_drained: impl FnMut(),
) -> io::Result<EndedBy> {
    let (input, output) = stream.split_halves();
    let mut reading = std::pin::pin!(read(input, outbox, message_timeout, on_bytes));
    let written = tokio::select! {
        biased;
        result = &mut reading => {
            outbox.close();
            return result.map(|()| EndedBy::Peer);
        }
        result = write(output, outbox, on_drained) => result,
    };
    outbox.close();
    // Read the input that arrived before the end. After a write error, that is everything up to the peer's close or
    // reset, within `message_timeout`. If this side closes, it is the pending input: closing a socket with unread
    // input resets the connection, and the reset can discard the last output.
    let rest = async {
        if written.is_err() {
            return tokio::time::sleep(message_timeout).await;
        }
        read_pending_input().await;
    };
    tokio::select! { biased; _ = reading => {}, () = rest => {} }
    written.map(|()| EndedBy::ThisSide)
}

async fn read(
    mut input: impl InputHalf,
    outbox: &Outbox,
    message_timeout: Duration,
    mut on_bytes: impl FnMut(&mut BytesMut) -> bool,
) -> io::Result<()> {
    let mut buffer = BytesMut::with_capacity(INITIAL_BUFFER_BYTES);
    let mut message_began = Instant::now();
    for reads in 1_u64.. {
        // `reserve` moves the remaining bytes to the buffer's start before it allocates.
        buffer.reserve(INITIAL_BUFFER_BYTES / 2);
        let size = if buffer.is_empty() {
            input.read_buf(&mut buffer).await?
        } else {
            timeout_at(message_began + message_timeout, input.read_buf(&mut buffer)).await??
        };
        if input.is_closed_by_peer() {
            outbox.has_peer_closed.set(true);
        }
        if size == 0 {
            break;
        }
        let size_before = buffer.len();
        if !on_bytes(&mut buffer) {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if buffer.len() < size_before || size_before == size {
            message_began = Instant::now(); // the remaining bytes begin another message
        }
        if reads % READS_PER_YIELD == 0 {
            tokio::task::yield_now().await;
        }
    }
    Ok(())
}

async fn write(output: impl TryWrite, outbox: &Outbox, mut on_drained: impl FnMut()) -> io::Result<()> {
    loop {
        while outbox.is_empty() {
            match outbox.closing.get() {
                Closing::Now => return Ok(()),
                Closing::IfIdle => {
                    read_pending_input().await;
                    if outbox.closing.get() == Closing::IfIdle {
                        outbox.close();
                    }
                }
                Closing::No => outbox.wake.notified().await,
            }
        }
        let written = output.try_write_bytes(&outbox.queue.borrow().bytes);
        match written {
            Ok(n) => outbox.queue.borrow_mut().remove_written(n),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                if outbox.closing.get() == Closing::Now {
                    return Ok(());
                }
                tokio::select! {
                    writable = output.wait_writable() => writable?,
                    () = outbox.wake.notified() => {}
                }
            }
            Err(e) => return Err(e),
        }
        if outbox.is_empty() {
            on_drained();
        }
    }
}
