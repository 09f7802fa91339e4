//! One connection: its buffer in, its bounded buffer out, and the loop that moves both. Never waits for a peer
//! that does not read.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
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

/// What is to be written to a connection.
#[derive(Default)]
pub struct Outbox {
    bytes: RefCell<BytesMut>,
    wake: Notify,
    closed: Cell<bool>,
    /// Bytes that the system has taken so far.
    written: Cell<u64>,
}

impl Outbox {
    /// Queues a message; false if the connection is closed, or now given up because its peer does not read.
    pub fn push(&self, message: &[u8]) -> bool {
        if self.closed.get() {
            return false;
        }
        let mut bytes = self.bytes.borrow_mut();
        if bytes.len() + message.len() > BACKLOG_BYTES {
            drop(bytes);
            self.close();
            return false;
        }
        bytes.extend_from_slice(message);
        self.wake.notify_one();
        true
    }

    /// Where what was queued last ends, counted from the first byte of all. The system has taken it once
    /// [`Outbox::written`] says as much.
    pub fn end(&self) -> u64 {
        self.written.get() + self.bytes.borrow().len() as u64
    }

    /// Bytes that the system has taken so far.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    fn took(&self, size: usize) {
        self.bytes.borrow_mut().advance(size);
        self.written.set(self.written.get() + size as u64);
    }

    /// How many bytes wait to be written.
    pub fn waiting(&self) -> usize {
        self.bytes.borrow().len()
    }

    /// Whether everything has been written.
    pub fn is_empty(&self) -> bool {
        self.bytes.borrow().is_empty()
    }

    /// Ends the connection once what is queued has been written, as far as the peer takes it at once.
    pub fn close(&self) {
        self.closed.set(true);
        self.wake.notify_one();
    }

    /// Whether the connection is open for messages.
    pub fn is_open(&self) -> bool {
        !self.closed.get()
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

/// Moves a connection's bytes until it ends. `on_bytes` takes whole messages out of the buffer's front and leaves
/// the rest; it returns false to end the connection. `on_drained` hears when everything queued has been written.
/// A message that has begun must come whole within `whole`. Guards against a peer that stops in the middle of one:
/// nothing that it says later can be read, and what is awaited there will not come.
pub async fn run(
    mut stream: impl Wire,
    outbox: Rc<Outbox>,
    whole: Duration,
    on_bytes: impl FnMut(&mut BytesMut) -> bool,
    on_drained: impl FnMut(),
) -> io::Result<()> {
    let result = {
        let (input, output) = stream.halves();
        tokio::select! {
            result = read(input, whole, on_bytes) => result,
            result = write(output, &outbox, on_drained) => result,
        }
    };
    outbox.close();
    let last = stream.last_words(&outbox.bytes.borrow());
    outbox.took(last.unwrap_or(0));
    result
}

async fn read(
    mut input: impl AsyncRead + Unpin,
    whole: Duration,
    mut on_bytes: impl FnMut(&mut BytesMut) -> bool,
) -> io::Result<()> {
    let mut buffer = BytesMut::with_capacity(FIRST_BYTES);
    let mut begun = Instant::now();
    loop {
        // `reserve` moves what is left to the buffer's start before it grows it.
        buffer.reserve(FIRST_BYTES / 2);
        let size = if buffer.is_empty() {
            input.read_buf(&mut buffer).await?
        } else {
            timeout_at(begun + whole, input.read_buf(&mut buffer)).await??
        };
        if size == 0 {
            return Ok(());
        }
        let held = buffer.len();
        if !on_bytes(&mut buffer) {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if buffer.len() < held || held == size {
            begun = Instant::now(); // what is left is the beginning of another message
        }
    }
}

async fn write(output: impl Out, outbox: &Outbox, mut on_drained: impl FnMut()) -> io::Result<()> {
    loop {
        while outbox.is_empty() {
            if outbox.closed.get() {
                return Ok(());
            }
            outbox.wake.notified().await;
        }
        let written = output.take(&outbox.bytes.borrow());
        match written {
            Ok(n) => outbox.took(n),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                if outbox.closed.get() {
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
