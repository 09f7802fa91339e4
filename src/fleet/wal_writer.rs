//! A voter's folder: its write-ahead log, locked, and the thread that writes it. The thread owns the file; it reports each write that is
//! on disk, and the first that fails. After that it writes nothing more, since a sync that failed once says nothing of what it
//! had been given. It ends when its [`WalWriter`] is dropped.
//!
//! The folder holds `log`, `lock`, for a moment `log.new`, and `log.damaged` where unreadable records were found.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;

use cobaltspool_fleet::quorum::{LogRecord, RecoveredState};
use cobaltspool_fleet::wal::{self, Damage, WalContents, WalError};
use tokio::sync::mpsc as tokio_mpsc;

/// Maximum number of writes that wait for the disk; one more counts as a failure.
const MAX_PENDING_WRITES: usize = 1_024;

/// Why a folder cannot be used, or a write failed. The message says what to do.
#[derive(Debug, thiserror::Error)]
pub(super) enum StoreError {
    /// The system refused an operation on the folder.
    #[error("{}: {operation}: {source}; see fleet.state", folder.display())]
    Folder { folder: PathBuf, operation: &'static str, source: io::Error },
    /// Another process has it.
    #[error("{}: another process has it locked ({source}); end that one, or give fleet.state", folder.display())]
    Locked { folder: PathBuf, source: TryLockError },
    /// Its log cannot be used.
    #[error("{}: {source}", folder.display())]
    Log { folder: PathBuf, source: WalError },
    /// The writer's thread could not be started.
    #[error("the thread that writes the fleet's log cannot be started: {0}")]
    Thread(io::Error),
    /// The disk failed.
    #[error(
        "{}: a write failed ({source}): the voter takes part no more; mend the disk and start anew",
        folder.display()
    )]
    Write { folder: PathBuf, source: io::Error },
}

/// What the writer reports.
#[derive(Debug)]
pub(super) enum StoreEvent {
    /// All writes up to this number are on disk.
    Written {
        /// The number.
        number: u64,
    },
    /// A write failed; it was the last.
    Failed(StoreError),
}

struct WriteRequest {
    number: u64,
    records: Vec<LogRecord>,
}

/// Takes writes for the thread; never waits.
pub(super) struct WalWriter(mpsc::SyncSender<WriteRequest>);

impl WalWriter {
    /// Requests a write; false: too many are pending, or the disk has failed.
    pub fn write(&self, number: u64, records: Vec<LogRecord>) -> bool {
        self.0.try_send(WriteRequest { number, records }).is_ok()
    }
}

/// A folder that was opened and read.
pub(super) struct OpenFolder {
    folder: PathBuf,
    file: File,
    contents: WalContents,
    recovered: RecoveredState,
    damage: Damage,
    _lock: File,
}

/// Opens a folder, or makes it, and recovers its log.
///
/// # Errors
/// Where the folder cannot be used. The voter does not vote then.
pub(super) fn open(folder: &Path) -> Result<OpenFolder, StoreError> {
    let failed =
        |operation| move |source| StoreError::Folder { folder: folder.to_path_buf(), operation, source };
    fs::create_dir_all(folder).map_err(failed("cannot be made"))?;
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
        // What is unreadable is kept for whoever looks into it; the voter asks its peers for it.
        let _ = fs::copy(&path, folder.join("log.damaged"));
    }
    let contents = WalContents { hard_state: recovered.hard_state.clone(), log: recovered.log.clone() };
    let file = rewrite(folder, &contents).map_err(failed("cannot be written"))?;
    Ok(OpenFolder { folder: folder.to_path_buf(), file, contents, recovered, damage, _lock: lock })
}

/// Writes the whole file anew, beside the old one and then in its place.
fn rewrite(folder: &Path, contents: &WalContents) -> io::Result<File> {
    let (new, path) = (folder.join("log.new"), folder.join("log"));
    let mut file = File::create(&new)?;
    file.write_all(&contents.encode())?;
    file.sync_all()?;
    fs::rename(&new, &path)?;
    File::open(folder)?.sync_all()?;
    OpenOptions::new().append(true).open(&path)
}

impl OpenFolder {
    /// Writes from now on, on a thread of its own. Returns the writer, and what the log held.
    ///
    /// # Errors
    /// Where the thread cannot be started.
    pub fn start(
        mut self,
        events: tokio_mpsc::UnboundedSender<StoreEvent>,
    ) -> Result<(WalWriter, RecoveredState), StoreError> {
        let recovered = std::mem::take(&mut self.recovered);
        let Damage { unreadable_records, torn_bytes } = self.damage;
        let (writer, requests) = mpsc::sync_channel::<WriteRequest>(MAX_PENDING_WRITES);
        let work = move || self.run(&requests, &events);
        let named = thread::Builder::new().name("fleet-disk".into());
        named.spawn(work).map_err(StoreError::Thread)?;
        if unreadable_records + torn_bytes > 0 {
            tracing::error!(
                target: "fleet", bad = unreadable_records, torn = torn_bytes,
                "the voter's log is damaged: what is missing comes from its peers"
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
            // What has come meanwhile is written with it: one sync serves all.
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
        // A file whose folder is gone still takes writes, and nobody will ever read them.
        let at_path = fs::metadata(self.folder.join("log"))?;
        if at_path.ino() != self.file.metadata()?.ino() {
            return Err(io::Error::other("another file has taken the log's place"));
        }
        Ok(())
    }
}
