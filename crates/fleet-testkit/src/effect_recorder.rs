//! Receives the effects that resource owners send over UDP, applies the fencing guard to them as a setup server or a
//! peer would, and records each with the outcome.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cobaltspool_fleet::lease::ResourceName;
use cobaltspool_fleet::lease::fencing::{Effect, FencingError, FencingGuard};

/// One received effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedEffect {
    /// Time of arrival.
    pub received_at: Instant,
    /// Name of the resource that the effect belongs to.
    pub resource: String,
    /// Fencing token of the lease under which the effect was sent.
    pub token: u64,
    /// Id of the member that sent the effect.
    pub owner: String,
    /// The guard accepted the effect, or the recorder runs without a guard.
    pub executed: bool,
}

/// UDP receiver of effects, running on a thread of its own until the value is dropped.
pub struct EffectRecorder {
    /// Address to which owners send their effects.
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedEffect>>>,
}

impl EffectRecorder {
    /// Starts a recorder before any lease is granted. With `is_guarded` false it executes every effect.
    pub fn start(is_guarded: bool) -> EffectRecorder {
        let socket = UdpSocket::bind(("127.0.0.1", 0)).expect("bind the UDP socket");
        socket.set_read_timeout(Some(Duration::from_millis(200))).expect("set the read timeout");
        let address = socket.local_addr().expect("local address of the socket");
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
                let (Some(name), Ok(token)) = (ResourceName::new(resource), token.parse()) else { continue };
                let mut checked = guard.check(Effect::new(name.clone(), token, ()));
                if checked.as_ref().err() == Some(&FencingError::UnknownToken) {
                    // The recorder was started before the first grant, so no higher token can have been used before.
                    guard.record_current_token(&name, 0);
                    checked = guard.check(Effect::new(name, token, ()));
                }
                let executed = checked.map(|checked| checked.carry_out(|()| ())).is_ok() || !is_guarded;
                let (resource, owner) = (resource.to_string(), owner.to_string());
                let effect = ReceivedEffect { received_at: Instant::now(), resource, token, owner, executed };
                shared.lock().expect("lock the recorded effects").push(effect);
            }
        });
        EffectRecorder { address, received }
    }

    /// All received effects in the order of arrival.
    pub fn effects(&self) -> Vec<ReceivedEffect> {
        self.received.lock().expect("lock the recorded effects").clone()
    }

    /// Checks invariant 2 over the executed effects: for each resource no effect with a lower token follows one with a
    /// higher token, and no token is used by two owners. Returns the number of token changes.
    pub fn check_token_order(&self) -> Result<usize, String> {
        check_token_order(&self.effects())
    }
}

fn check_token_order(effects: &[ReceivedEffect]) -> Result<usize, String> {
    let mut last: std::collections::BTreeMap<&str, (u64, &str)> = std::collections::BTreeMap::new();
    let mut changes = 0;
    for effect in effects.iter().filter(|e| e.executed) {
        let (token, owner) =
            last.insert(&effect.resource, (effect.token, &effect.owner)).unwrap_or((0, &effect.owner));
        if effect.token < token || effect.token == token && effect.owner != owner {
            return Err(format!("{effect:?} was executed after token {token} of owner {owner}"));
        }
        changes += usize::from(effect.token > token);
    }
    Ok(changes)
}

#[cfg(test)]
mod tests;
