//! Length-prefixed frames on streams. Their size is bounded here, the time for them by the callers: a peer that
//! accepts a connection and never reads, or sends one byte at a time, occupies a stream only until the timeout.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Timeout for a complete exchange of tables, and for the first frame of an accepted stream.
pub(super) const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(3);

/// Writes one frame, preceded by its length.
pub(super) async fn write_frame(stream: &mut TcpStream, frame: &[u8]) -> io::Result<()> {
    let length = u32::try_from(frame.len()).map_err(|_| io::ErrorKind::InvalidInput)?;
    stream.write_all(&length.to_be_bytes()).await?;
    stream.write_all(frame).await
}

/// Reads one frame; `None` if its announced length is above `max_bytes`. Memory is allocated as bytes arrive, not for
/// the announced length.
pub(super) async fn read_frame(stream: &mut TcpStream, max_bytes: usize) -> io::Result<Option<Vec<u8>>> {
    let length = stream.read_u32().await? as usize;
    if length > max_bytes {
        return Ok(None);
    }
    let mut bytes = Vec::new();
    stream.take(length as u64).read_to_end(&mut bytes).await?;
    if bytes.len() < length { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(Some(bytes)) }
}
