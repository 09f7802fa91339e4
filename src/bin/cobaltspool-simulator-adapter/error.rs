//! Errors that end the adapter.

use std::io;

use thiserror::Error;

/// Why the adapter stops.
#[derive(Debug, Error)]
pub enum AdapterError {
    #[error("reading: {0}")]
    Read(#[source] io::Error),
    #[error("writing: {0}")]
    Write(#[source] io::Error),
    #[error("not a batch: {0}")]
    BadBatch(#[from] serde_json::Error),
    #[error("frame {frame}, message {index}: {source}")]
    BadMessage { frame: u64, index: usize, source: Box<Self> },
    #[error("unknown front {0}")]
    UnknownGatekeeper(u64),
    #[error("unknown server list {0}")]
    UnknownList(u64),
    #[error("inbox: bad base64: {0}")]
    BadPeerMessage(#[source] base64::DecodeError),
    #[error("reminder: key {0:?} is not a timer's")]
    BadTimerKey(String),
}
