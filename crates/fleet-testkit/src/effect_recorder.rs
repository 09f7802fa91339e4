//! Receives owners' effects, carries them out behind a fencing guard as a setup server or a peer would, and records them.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cobaltspool_fleet::lease::ResourceName;
use cobaltspool_fleet::lease::fencing::{Effect, FencingError, FencingGuard};

/// An effect that came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedEffect {
    /// When.
    pub at: Instant,
    /// For which item.
    pub work: String,
    /// By which token.
    pub token: u64,
    /// From whom.
    pub owner: String,
    /// It was carried out.
    pub done: bool,
}

/// See the module.
pub struct EffectRecorder {
    /// Where effects are to go.
    pub at: SocketAddr,
    came: Arc<Mutex<Vec<ReceivedEffect>>>,
}

impl EffectRecorder {
    /// One that has just started, before anything was granted. Without its guard it carries all out.
    pub fn start(is_guarded: bool) -> EffectRecorder {
        let socket = UdpSocket::bind(("127.0.0.1", 0)).expect("a socket");
        socket.set_read_timeout(Some(Duration::from_millis(200))).expect("a time limit");
        let at = socket.local_addr().expect("an address");
        let came: Arc<Mutex<Vec<ReceivedEffect>>> = Arc::default();
        let kept = Arc::downgrade(&came);
        std::thread::spawn(move || {
            let (mut guard, mut buffer) = (FencingGuard::default(), [0; 256]);
            while let Some(kept) = kept.upgrade() {
                let Ok(size) = socket.recv(&mut buffer) else { continue };
                let text = String::from_utf8_lossy(&buffer[..size]).into_owned();
                let mut words = text.split(' ');
                let (Some(work), Some(token), Some(owner)) = (words.next(), words.next(), words.next())
                else {
                    continue;
                };
                let (Some(item), Ok(token)) = (ResourceName::new(work), token.parse()) else { continue };
                let mut checked = guard.check(Effect::new(item.clone(), token, ()));
                if checked.as_ref().err() == Some(&FencingError::UnknownToken) {
                    // It started before the first grant: nothing is known to be there.
                    guard.record_current_token(&item, 0);
                    checked = guard.check(Effect::new(item, token, ()));
                }
                let done = checked.map(|checked| checked.carry_out(|()| ())).is_ok() || !is_guarded;
                let (work, owner) = (work.to_string(), owner.to_string());
                let row = ReceivedEffect { at: Instant::now(), work, token, owner, done };
                kept.lock().expect("the rows").push(row);
            }
        });
        EffectRecorder { at, came }
    }

    /// All that came, in order.
    pub fn rows(&self) -> Vec<ReceivedEffect> {
        self.came.lock().expect("the rows").clone()
    }

    /// Invariant 2 over all that was carried out: no effect of a lower token after one of a higher, and no token of two owners.
    pub fn check(&self) -> Result<usize, String> {
        check(&self.rows())
    }
}

fn check(rows: &[ReceivedEffect]) -> Result<usize, String> {
    let mut last: std::collections::BTreeMap<&str, (u64, &str)> = std::collections::BTreeMap::new();
    let mut changes = 0;
    for row in rows.iter().filter(|r| r.done) {
        let (token, owner) = last.insert(&row.work, (row.token, &row.owner)).unwrap_or((0, &row.owner));
        if row.token < token || row.token == token && row.owner != owner {
            return Err(format!("{row:?} after token {token} of {owner}"));
        }
        changes += usize::from(row.token > token);
    }
    Ok(changes)
}

#[cfg(test)]
mod tests;
