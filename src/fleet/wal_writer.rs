//! A voter's folder with its write-ahead log, and the thread that writes the log. The thread owns the file. It
//! reports each completed write and the first failed one, and writes nothing after a failure: once a sync has failed,
//! it is unknown which of the data given to it is on disk. The thread ends when its [`WalWriter`] is dropped.
//!
//! The folder contains `log`, `lock` (a lock against other processes), `log.new` while the log is rewritten, and
//! `log.damaged`, a copy of the log in which unreadable records were found.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;

use cobaltspool_fleet::quorum::{LogRecord, RecoveredState};
use cobaltspool_fleet::wal::{self, Damage, WalContents, WalError};
use tokio::sync::mpsc as tokio_mpsc;

/// Maximum number of pending writes; a further one is rejected, and the voter treats that as a disk failure.
const MAX_PENDING_WRITES: usize = 1_024;

/// A folder cannot be used, or a write failed. The message names the remedy.
#[derive(Debug, thiserror::Error)]
pub(super) enum StoreError {
    /// A file operation on the folder failed.
    #[error("{}: {operation}: {source}; see fleet.state", folder.display())]
    Folder { folder: PathBuf, operation: &'static str, source: io::Error },
    /// Another process has locked the folder.
    #[error(
        "{}: another process has it locked ({source}); stop that process, or set fleet.state to another folder",
        folder.display()
    )]
    Locked { folder: PathBuf, source: TryLockError },
    /// The log in the folder cannot be used.
    #[error("{}: {source}", folder.display())]
    Log { folder: PathBuf, source: WalError },
    /// The writer thread could not be started.
    #[error("cannot start the thread that writes the fleet's log: {0}")]
    Thread(io::Error),
    /// A write to the log failed.
    #[error(
        "{}: a write failed ({source}): the voter no longer takes part; repair the disk and start anew",
        folder.display()
    )]
    Write { folder: PathBuf, source: io::Error },
}

/// Report of the writer.
#[derive(Debug)]
pub(super) enum StoreEvent {
    /// All writes up to this number are on disk.
    Written {
        /// Number of the last of these writes.
        number: u64,
    },
    /// A write failed; the writer has ended.
    Failed(StoreError),
}

struct WriteRequest {
    number: u64,
    records: Vec<LogRecord>,
}

/// Queue of write requests to the thread. It never blocks.
pub(super) struct WalWriter(mpsc::SyncSender<WriteRequest>);

impl WalWriter {
    /// Requests a write. Returns false if too many are pending or the writer has ended.
    pub fn write(&self, number: u64, records: Vec<LogRecord>) -> bool {
        self.0.try_send(WriteRequest { number, records }).is_ok()
    }
}

/// A folder that is open and locked, with its recovered log.
pub(super) struct OpenFolder {
    folder: PathBuf,
    file: File,
    contents: WalContents,
    recovered: RecoveredState,
    damage: Damage,
    _lock: File,
}

/// Opens a folder, creating it if necessary, and recovers its log.
///
/// # Errors
/// If the folder cannot be used. The voter must not vote then.
pub(super) fn open(folder: &Path) -> Result<OpenFolder, StoreError> {
    let failed =
        |operation| move |source| StoreError::Folder { folder: folder.to_path_buf(), operation, source };
    fs::create_dir_all(folder).map_err(failed("cannot be created"))?;
    let lock = File::create(folder.join("lock")).map_err(failed("cannot be written"))?;
    lock.try_lock().map_err(|source| StoreError::Locked { folder: folder.to_path_buf(), source })?;
    let path = folder.join("log");
    let mut bytes = Vec::new();
    match File::open(&path) {
        Ok(mut file) => {
            file.read_to_end(&mut bytes).map_err(failed("the log cannot be read"))?;
        }
        Err(e) if e.kind() == io::ErrorKind::NotFound => {}
        Err(e) => return Err(failed("the log cannot be opened")(e)),
    }
    let (recovered, damage) =
        wal::recover(&bytes).map_err(|source| StoreError::Log { folder: folder.to_path_buf(), source })?;
    if damage.unreadable_records > 0 {
        // Keeps the unreadable records for diagnosis; the voter gets the entries from its peers.
        let _ = fs::copy(&path, folder.join("log.damaged"));
    }
    let contents = WalContents { hard_state: recovered.hard_state.clone(), log: recovered.log.clone() };
    let file = rewrite(folder, &contents).map_err(failed("cannot be written"))?;
    Ok(OpenFolder { folder: folder.to_path_buf(), file, contents, recovered, damage, _lock: lock })
}

/// Writes the contents to a new file, which then replaces the log atomically.
fn rewrite(folder: &Path, contents: &WalContents) -> io::Result<File> {
    let (new_path, path) = (folder.join("log.new"), folder.join("log"));
    let mut file = File::create(&new_path)?;
    file.write_all(&contents.encode())?;
    file.sync_all()?;
    fs::rename(&new_path, &path)?;
    File::open(folder)?.sync_all()?;
    OpenOptions::new().append(true).open(&path)
}

impl OpenFolder {
    /// Starts the writer thread. Returns the writer and the state recovered from the log.
    ///
    /// # Errors
    /// If the thread cannot be started.
    pub fn start(
        mut self,
        events: tokio_mpsc::UnboundedSender<StoreEvent>,
    ) -> Result<(WalWriter, RecoveredState), StoreError> {
        let recovered = std::mem::take(&mut self.recovered);
        let Damage { unreadable_records, torn_bytes } = self.damage;
        let (writer, requests) = mpsc::sync_channel::<WriteRequest>(MAX_PENDING_WRITES);
        let run = move || self.run(&requests, &events);
        let builder = thread::Builder::new().name("fleet-disk".into());
        builder.spawn(run).map_err(StoreError::Thread)?;
        if unreadable_records + torn_bytes > 0 {
            tracing::error!(
                target: "fleet", bad = unreadable_records, torn = torn_bytes,
                "the voter's log is damaged: missing entries are requested from its peers"
            );
        }
        Ok((WalWriter(writer), recovered))
    }

    fn run(
        &mut self,
        requests: &mpsc::Receiver<WriteRequest>,
        events: &tokio_mpsc::UnboundedSender<StoreEvent>,
    ) {
        while let Ok(mut request) = requests.recv() {
            // Writes all pending requests together, with one sync.
            while let Ok(next) = requests.try_recv() {
                request.number = next.number;
                request.records.extend(next.records);
            }
            let event = match self.write(request.records) {
                Ok(()) => StoreEvent::Written { number: request.number },
                Err(source) => {
                    let folder = self.folder.clone();
                    StoreEvent::Failed(StoreError::Write { folder, source })
                }
            };
            let has_failed = matches!(event, StoreEvent::Failed(_));
            if events.send(event).is_err() || has_failed {
                return;
            }
        }
    }

    fn write(&mut self, records: Vec<LogRecord>) -> io::Result<()> {
        fail::fail_point!("disk-write", |_| Err(io::Error::other("fail point")));
        let has_snapshot = records.iter().any(|record| matches!(record, LogRecord::Snapshot { .. }));
        let bytes: Vec<u8> = records.iter().flat_map(wal::encode).collect();
        for record in records {
            self.contents.apply(record);
        }
        if has_snapshot {
            self.file = rewrite(&self.folder, &self.contents)?;
            return Ok(());
        }
        self.file.write_all(&bytes)?;
        fail::fail_point!("disk-sync", |_| Err(io::Error::other("fail point")));
        self.file.sync_data()?;
        // Writes to a deleted or replaced file succeed, but are lost at the next start.
        let at_path = fs::metadata(self.folder.join("log"))?;
        if at_path.ino() != self.file.metadata()?.ino() {
            return Err(io::Error::other("the log file was replaced by another one"));
        }
        Ok(())
    }
}
