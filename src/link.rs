//! One connection: its buffer in, its bounded buffer out, and the loop that moves both. Never waits for a peer
//! that does not read.
//!
//! Three rules hold where something comes between two lines. What the peer has said is heard before anything more is
//! written to it: a peer that has left is seen to have left, and what it said last is read even where writing fails. A
//! queued message may be taken back for as long as the system has none of it. And a connection that is closed for want of
//! use stays if its peer used it before the close.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UnixStream, tcp, unix};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// Most bytes that wait for a peer to read them; a peer that lets more pile up is cut off.
const BACKLOG_BYTES: usize = 256 * 1024;
/// Connections that wait to be accepted, at most.
const BACKLOG: u32 = 1024;
/// The buffer grows from here to what its messages need.
const FIRST_BYTES: usize = 2 * 1024;

/// A listener at an address that a second process of the same user may listen at too: at an upgrade the new one starts
/// beside the old one.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    if let Err(e) = socket.set_reuseport(true) {
        tracing::warn!(error = %e, "no second process can listen beside this one: upgrades will refuse connections");
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Names a message of an outbox; later ones have higher numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// What is to be written to a connection.
#[derive(Default)]
pub struct Outbox {
    queue: RefCell<Queue>,
    wake: Notify,
    closing: Cell<Closing>,
}

#[derive(Clone, Copy, Default, PartialEq)]
enum Closing {
    #[default]
    No,
    /// For want of use: what the peer has said already is heard first, and may keep it open.
    Unused,
    Yes,
}

#[derive(Default)]
struct Queue {
    bytes: BytesMut,
    /// What is left of each message in `bytes`, in order.
    parts: VecDeque<(Ticket, usize)>,
    /// The system has some of the first one.
    begun: bool,
    /// The number of the message queued last.
    last: u64,
}

impl Queue {
    fn add(&mut self, message: &[u8]) -> Ticket {
        self.last += 1;
        self.bytes.extend_from_slice(message);
        self.parts.push_back((Ticket(self.last), message.len()));
        Ticket(self.last)
    }

    fn took(&mut self, mut size: usize) {
        self.bytes.advance(size);
        self.begun |= size > 0;
        while let Some((_, left)) = self.parts.front_mut() {
            if size < *left {
                *left -= size;
                return;
            }
            size -= *left;
            self.parts.pop_front();
            self.begun = size > 0;
        }
    }

    /// Where a message begins that the system has none of, its place and its size.
    fn find(&self, ticket: Ticket) -> Option<(usize, usize, usize)> {
        let place = self.parts.iter().position(|(t, _)| *t == ticket)?;
        let before = self.parts.iter().take(place).map(|(_, size)| size).sum();
        (place > 0 || !self.begun).then(|| (before, place, self.parts[place].1))
    }
}

impl Outbox {
    /// Queues a message; `None` if the connection is closed, or now given up because its peer does not read.
    /// What is queued keeps a connection open that was to be closed for want of use.
    pub fn push(&self, message: &[u8]) -> Option<Ticket> {
        if !self.stay_open() {
            return None;
        }
        if self.waiting() + message.len() > BACKLOG_BYTES {
            self.close();
            return None;
        }
        self.wake.notify_one();
        Some(self.queue.borrow_mut().add(message))
    }

    /// Takes a message back; false if the system has some of it.
    pub fn take_back(&self, ticket: Ticket) -> bool {
        let mut queue = self.queue.borrow_mut();
        let Some((start, place, size)) = queue.find(ticket) else { return false };
        queue.parts.remove(place);
        let mut rest = queue.bytes.split_off(start);
        rest.advance(size);
        queue.bytes.unsplit(rest);
        true
    }

    /// Whether the system has taken all of a message that was not taken back.
    pub fn has_written(&self, ticket: Ticket) -> bool {
        let queue = self.queue.borrow();
        queue.parts.front().is_none_or(|(first, _)| ticket < *first)
    }

    /// Lets go of all that was not written.
    pub fn clear(&self) {
        let mut queue = self.queue.borrow_mut();
        queue.bytes.clear();
        queue.parts.clear();
    }

    /// How many bytes wait to be written.
    pub fn waiting(&self) -> usize {
        self.queue.borrow().bytes.len()
    }

    /// Whether everything has been written.
    pub fn is_empty(&self) -> bool {
        self.waiting() == 0
    }

    /// Ends the connection once what is queued has been written, as far as the peer takes it at once.
    pub fn close(&self) {
        self.closing.set(Closing::Yes);
        self.wake.notify_one();
    }

    /// Ends the connection for want of use, unless what its peer has said by now keeps it open.
    pub fn close_unused(&self) {
        if self.closing.get() == Closing::No {
            self.closing.set(Closing::Unused);
            self.wake.notify_one();
        }
    }

    /// The connection is of use; false if it is closed.
    pub fn stay_open(&self) -> bool {
        if self.closing.get() == Closing::Unused {
            self.closing.set(Closing::No);
        }
        self.is_open()
    }

    /// Whether the connection is open and is to stay so.
    pub fn is_open(&self) -> bool {
        self.closing.get() == Closing::No
    }

    /// Writes what the peer takes at once, when the connection has ended otherwise.
    pub fn last_words(&self, stream: &impl Wire) {
        let mut queue = self.queue.borrow_mut();
        let size = stream.last_words(&queue.bytes).unwrap_or(0);
        queue.took(size);
    }
}

/// A stream whose two halves are moved side by side.
pub trait Wire {
    /// Its halves, in and out.
    fn halves(&mut self) -> (impl AsyncRead + Unpin, impl Out);

    /// Writes what the peer takes at once, at the end.
    fn last_words(&self, bytes: &[u8]) -> io::Result<usize>;
}

/// The half of a stream that is written.
pub trait Out {
    /// Writes what the peer takes at once.
    fn take(&self, bytes: &[u8]) -> io::Result<usize>;

    /// Waits until the peer takes more.
    fn ready(&self) -> impl Future<Output = io::Result<()>>;
}

macro_rules! wire {
    ($stream:ty, $out:ty, $start:expr) => {
        impl Wire for $stream {
            fn halves(&mut self) -> (impl AsyncRead + Unpin, impl Out) {
                $start(&*self);
                self.split()
            }

            fn last_words(&self, bytes: &[u8]) -> io::Result<usize> {
                self.try_write(bytes)
            }
        }

        impl Out for $out {
            fn take(&self, bytes: &[u8]) -> io::Result<usize> {
                self.try_write(bytes)
            }

            async fn ready(&self) -> io::Result<()> {
                self.writable().await
            }
        }
    };
}

wire!(TcpStream, tcp::WriteHalf<'_>, |s: &TcpStream| drop(s.set_nodelay(true)));
wire!(UnixStream, unix::WriteHalf<'_>, |_: &UnixStream| ());

/// Turns of the loop within which what is there to be read has been read: one to learn of it, for the wait before may have
/// been interrupted and have told of timers alone, and one in which others read.
const TURNS_TO_HEAR: usize = 2;
/// Reads in a row after which the other half has its turn: a peer that never stops talking is still answered.
const READS_IN_A_ROW: u64 = 16;

/// Returns once all that peers have said by now has been read, by those who read it: what is to go out on its account or in
/// spite of it waits for that.
pub async fn hear_first() {
    for _ in 0..TURNS_TO_HEAR {
        tokio::task::yield_now().await;
    }
}

/// Moves a connection's bytes until it ends. `on_bytes` takes whole messages out of the buffer's front and leaves
/// the rest; it returns false to end the connection. `on_drained` hears when everything queued has been written.
/// A message that has begun must come whole within `whole`. Guards against a peer that stops in the middle of one:
/// nothing that it says later can be read, and what is awaited there will not come.
///
/// What is still queued when the peer has ended it is for the caller to take back or to write
/// ([`Outbox::last_words`]).
pub async fn run(
    stream: &mut impl Wire,
    outbox: &Outbox,
    whole: Duration,
    on_bytes: impl FnMut(&mut BytesMut) -> bool,
    on_drained: impl FnMut(),
) -> io::Result<()> {
    let (input, output) = stream.halves();
    let mut reading = std::pin::pin!(read(input, whole, on_bytes));
    let written = tokio::select! {
        biased;
        result = &mut reading => {
            outbox.close();
            return result;
        }
        result = write(output, outbox, on_drained) => result,
    };
    outbox.close();
    // What came before this end is still heard. Where the peer has reset the connection, that is all until the reset; where
    // it ends on our word, what is there already: closing over unread bytes would reset it, and a reset can take what was
    // written last with it.
    let rest = async {
        if written.is_err() {
            return tokio::time::sleep(whole).await;
        }
        hear_first().await;
    };
    tokio::select! { biased; _ = reading => {}, () = rest => {} }
    written
}

async fn read(
    mut input: impl AsyncRead + Unpin,
    whole: Duration,
    mut on_bytes: impl FnMut(&mut BytesMut) -> bool,
) -> io::Result<()> {
    let mut buffer = BytesMut::with_capacity(FIRST_BYTES);
    let mut begun = Instant::now();
    for reads in 1_u64.. {
        // `reserve` moves what is left to the buffer's start before it grows it.
        buffer.reserve(FIRST_BYTES / 2);
        let size = if buffer.is_empty() {
            input.read_buf(&mut buffer).await?
        } else {
            timeout_at(begun + whole, input.read_buf(&mut buffer)).await??
        };
        if size == 0 {
            break;
        }
        let held = buffer.len();
        if !on_bytes(&mut buffer) {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if buffer.len() < held || held == size {
            begun = Instant::now(); // what is left is the beginning of another message
        }
        if reads % READS_IN_A_ROW == 0 {
            tokio::task::yield_now().await;
        }
    }
    Ok(())
}

async fn write(output: impl Out, outbox: &Outbox, mut on_drained: impl FnMut()) -> io::Result<()> {
    loop {
        while outbox.is_empty() {
            match outbox.closing.get() {
                Closing::Yes => return Ok(()),
                Closing::Unused => {
                    hear_first().await;
                    if outbox.closing.get() == Closing::Unused {
                        outbox.close();
                    }
                }
                Closing::No => outbox.wake.notified().await,
            }
        }
        let written = output.take(&outbox.queue.borrow().bytes);
        match written {
            Ok(n) => outbox.queue.borrow_mut().took(n),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                if outbox.closing.get() == Closing::Yes {
                    return Ok(());
                }
                tokio::select! {
                    ready = output.ready() => ready?,
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
