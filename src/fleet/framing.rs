//! Streams: two members exchange their tables, a frame each way with its length before it. Bounded in bytes and in time; a
//! peer that accepts and never reads, or sends a byte at a time, costs a place until its time is up.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A whole exchange takes no longer.
pub(super) const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(3);

/// Writes one frame.
pub(super) async fn write_frame(stream: &mut TcpStream, frame: &[u8]) -> io::Result<()> {
    let length = u32::try_from(frame.len()).map_err(|_| io::ErrorKind::InvalidInput)?;
    stream.write_all(&length.to_be_bytes()).await?;
    stream.write_all(frame).await
}

/// Reads one frame; `None`: it says that it is longer than may be. Room is taken as bytes come, not as they are claimed.
pub(super) async fn read_frame(stream: &mut TcpStream, max_bytes: usize) -> io::Result<Option<Vec<u8>>> {
    let length = stream.read_u32().await? as usize;
    if length > max_bytes {
        return Ok(None);
    }
    let mut bytes = Vec::new();
    stream.take(length as u64).read_to_end(&mut bytes).await?;
    if bytes.len() < length { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(Some(bytes)) }
}
