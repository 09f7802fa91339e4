//! The adapter's errors; each of them makes it exit.

use std::io;

use thiserror::Error;

/// An error that makes the adapter exit.
#[derive(Debug, Error)]
pub enum AdapterError {
    #[error("cannot read standard input: {0}")]
    Read(#[source] io::Error),
    #[error("cannot write to standard output: {0}")]
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
    #[error("reminder: {0:?} is not a timer key")]
    BadTimerKey(String),
}
