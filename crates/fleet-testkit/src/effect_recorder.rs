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
    pub received_at: Instant,
    /// For which item.
    pub resource: String,
    /// By which token.
    pub token: u64,
    /// From whom.
    pub owner: String,
    /// It was carried out.
    pub executed: bool,
}

/// See the module.
pub struct EffectRecorder {
    /// Where effects are to go.
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedEffect>>>,
}

impl EffectRecorder {
    /// One that has just started, before anything was granted. Without its guard it carries all out.
    pub fn start(is_guarded: bool) -> EffectRecorder {
        let socket = UdpSocket::bind(("127.0.0.1", 0)).expect("a socket");
        socket.set_read_timeout(Some(Duration::from_millis(200))).expect("a time limit");
        let address = socket.local_addr().expect("an address");
        let received: Arc<Mutex<Vec<ReceivedEffect>>> = Arc::default();
        let shared = Arc::downgrade(&received);
        std::thread::spawn(move || {
            let (mut guard, mut buffer) = (FencingGuard::default(), [0; 256]);
            while let Some(shared) = shared.upgrade() {
                let Ok(size) = socket.recv(&mut buffer) else { continue };
                let text = String::from_utf8_lossy(&buffer[..size]).into_owned();
                let mut words = text.split(' ');
                let (Some(resource), Some(token), Some(owner)) = (words.next(), words.next(), words.next())
                else {
                    continue;
                };
                let (Some(item), Ok(token)) = (ResourceName::new(resource), token.parse()) else { continue };
                let mut checked = guard.check(Effect::new(item.clone(), token, ()));
                if checked.as_ref().err() == Some(&FencingError::UnknownToken) {
                    // It started before the first grant: nothing is known to be there.
                    guard.record_current_token(&item, 0);
                    checked = guard.check(Effect::new(item, token, ()));
                }
                let executed = checked.map(|checked| checked.carry_out(|()| ())).is_ok() || !is_guarded;
                let (resource, owner) = (resource.to_string(), owner.to_string());
                let row = ReceivedEffect { received_at: Instant::now(), resource, token, owner, executed };
                shared.lock().expect("the rows").push(row);
            }
        });
        EffectRecorder { address, received }
    }

    /// All that came, in order.
    pub fn effects(&self) -> Vec<ReceivedEffect> {
        self.received.lock().expect("the rows").clone()
    }

    /// Invariant 2 over all that was carried out: no effect of a lower token after one of a higher, and no token of two owners.
    pub fn check_token_order(&self) -> Result<usize, String> {
        check_token_order(&self.effects())
    }
}

fn check_token_order(rows: &[ReceivedEffect]) -> Result<usize, String> {
    let mut last: std::collections::BTreeMap<&str, (u64, &str)> = std::collections::BTreeMap::new();
    let mut changes = 0;
    for row in rows.iter().filter(|r| r.executed) {
        let (token, owner) = last.insert(&row.resource, (row.token, &row.owner)).unwrap_or((0, &row.owner));
        if row.token < token || row.token == token && row.owner != owner {
            return Err(format!("{row:?} after token {token} of {owner}"));
        }
        changes += usize::from(row.token > token);
    }
    Ok(changes)
}

#[cfg(test)]
mod tests;
