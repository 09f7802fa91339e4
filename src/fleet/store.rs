//! A voter's folder: one file of records, locked, written by a thread of its own. It reports each write that is on disk, and the first
//! that fails; after that it writes nothing more, since a sync that failed once says nothing of what it had been given.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;

use cobaltspool_fleet::disk::{self, Damage, Image, Unusable};
use cobaltspool_fleet::quorum::{Held, Record};
use tokio::sync::mpsc as to_voter;

/// Writes that wait for the disk, at most; one more counts as a failure.
const WAITING: usize = 1_024;

/// What the disk has to say.
#[derive(Debug)]
pub(super) enum Word {
    /// All writes up to this number are on disk.
    Done(u64),
    /// It fails; why, and what to do.
    Failed(String),
}

/// Takes writes; never waits.
pub(super) struct Store(mpsc::SyncSender<(u64, Vec<Record>)>);

impl Store {
    /// Asks for a write; false: too many are waiting, or the disk has failed.
    pub fn write(&self, number: u64, records: Vec<Record>) -> bool {
        self.0.try_send((number, records)).is_ok()
    }
}

/// A folder that was opened and read.
pub(super) struct Opened {
    folder: PathBuf,
    file: File,
    image: Image,
    _lock: File,
}

fn named(folder: &Path, what: &str, e: &io::Error) -> String {
    format!("{}: {what}: {e}; see fleet.state", folder.display())
}

/// Opens a folder, or makes it. An error is for people: the voter does not vote then.
pub(super) fn open(folder: &Path) -> Result<(Held, Damage, Opened), String> {
    fs::create_dir_all(folder).map_err(|e| named(folder, "cannot be made", &e))?;
    let lock = File::create(folder.join("lock")).map_err(|e| named(folder, "cannot be written", &e))?;
    lock.try_lock().map_err(|e| {
        format!(
            "{}: another process has it locked ({e}); end that one, or give fleet.state",
            folder.display()
        )
    })?;
    let path = folder.join("log");
    let mut bytes = Vec::new();
    match File::open(&path) {
        Ok(mut file) => {
            file.read_to_end(&mut bytes).map_err(|e| named(folder, "the log cannot be read", &e))?;
        }
        Err(e) if e.kind() == io::ErrorKind::NotFound => {}
        Err(e) => return Err(named(folder, "the log cannot be opened", &e)),
    }
    let (held, damage) = disk::read(&bytes).map_err(|e| match e {
        Unusable::Foreign => format!("{}: its log is no log of a fleet; move it away", folder.display()),
        Unusable::Newer(version) => {
            format!("{}: its log has format {version}, of a newer version; start that one", folder.display())
        }
    })?;
    if damage.bad > 0 {
        // What does not read is kept for whoever looks into it; the voter asks its peers for it.
        let _ = fs::copy(&path, folder.join("log.damaged"));
    }
    let image = Image { hard: held.hard.clone(), log: held.log.clone() };
    let file = rewritten(folder, &image).map_err(|e| named(folder, "cannot be written", &e))?;
    Ok((held, damage, Opened { folder: folder.to_path_buf(), file, image, _lock: lock }))
}

/// Writes the whole file anew, beside the old one and then in its place.
fn rewritten(folder: &Path, image: &Image) -> io::Result<File> {
    let (new, path) = (folder.join("log.new"), folder.join("log"));
    let mut file = File::create(&new)?;
    file.write_all(&image.file())?;
    file.sync_all()?;
    fs::rename(&new, &path)?;
    File::open(folder)?.sync_all()?;
    OpenOptions::new().append(true).open(&path)
}

impl Opened {
    /// Writes from now on, on a thread that ends with the store.
    pub fn run(mut self, words: to_voter::UnboundedSender<Word>) -> Result<Store, String> {
        let (store, writes) = mpsc::sync_channel::<(u64, Vec<Record>)>(WAITING);
        let work = move || {
            while let Ok((number, records)) = writes.recv() {
                // What has come meanwhile is written with it: one sync serves all.
                let (mut number, mut all) = (number, records);
                while let Ok((next, records)) = writes.try_recv() {
                    number = next;
                    all.extend(records);
                }
                let word = match self.write(all) {
                    Ok(()) => Word::Done(number),
                    Err(e) => Word::Failed(format!(
                        "{}: a write failed ({e}): the voter takes part no more; mend the disk and start anew",
                        self.folder.display()
                    )),
                };
                let failed = matches!(word, Word::Failed(_));
                if words.send(word).is_err() || failed {
                    return;
                }
            }
        };
        thread::Builder::new().name("fleet-disk".into()).spawn(work).map_err(|e| e.to_string())?;
        Ok(Store(store))
    }

    fn write(&mut self, records: Vec<Record>) -> io::Result<()> {
        fail::fail_point!("disk-write", |_| Err(io::Error::other("fail point")));
        let anew = records.iter().any(|r| matches!(r, Record::Snapshot { .. }));
        let bytes: Vec<u8> = records.iter().flat_map(disk::encode).collect();
        for record in records {
            self.image.take(record);
        }
        if anew {
            self.file = rewritten(&self.folder, &self.image)?;
            return Ok(());
        }
        self.file.write_all(&bytes)?;
        fail::fail_point!("disk-sync", |_| Err(io::Error::other("fail point")));
        self.file.sync_data()?;
        // A file whose folder is gone still takes writes, and nobody will ever read them.
        let there = fs::metadata(self.folder.join("log"))?;
        if there.ino() != self.file.metadata()?.ino() {
            return Err(io::Error::other("another file has taken the log's place"));
        }
        Ok(())
    }
}
