//! Receives effects of owners and carries them out behind a fence, as a setup server or a peer would; and records them.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cobaltspool_fleet::owner::Work;
use cobaltspool_fleet::owner::fence::{Effect, Fence, Held};

/// An effect that came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Came {
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
pub struct Witness {
    /// Where effects are to go.
    pub at: SocketAddr,
    came: Arc<Mutex<Vec<Came>>>,
}

impl Witness {
    /// One that has just started, before anything was granted. Without its guard it carries all out.
    pub fn start(guarded: bool) -> Witness {
        let socket = UdpSocket::bind(("127.0.0.1", 0)).expect("a socket");
        socket.set_read_timeout(Some(Duration::from_millis(200))).expect("a time limit");
        let at = socket.local_addr().expect("an address");
        let came: Arc<Mutex<Vec<Came>>> = Arc::default();
        let kept = Arc::downgrade(&came);
        std::thread::spawn(move || {
            let (mut fence, mut buffer) = (Fence::default(), [0; 256]);
            while let Some(kept) = kept.upgrade() {
                let Ok(size) = socket.recv(&mut buffer) else { continue };
                let text = String::from_utf8_lossy(&buffer[..size]).into_owned();
                let mut words = text.split(' ');
                let (Some(work), Some(token), Some(owner)) = (words.next(), words.next(), words.next())
                else {
                    continue;
                };
                let (Some(item), Ok(token)) = (Work::new(work), token.parse()) else { continue };
                let mut checked = fence.check(Effect::new(item.clone(), token, ()));
                if checked.as_ref().err() == Some(&Held::Unknown) {
                    // It started before the first grant: nothing is known to be there.
                    fence.learn(&item, 0);
                    checked = fence.check(Effect::new(item, token, ()));
                }
                let done = checked.map(|checked| checked.carry_out(|()| ())).is_ok() || !guarded;
                let (work, owner) = (work.to_string(), owner.to_string());
                let row = Came { at: Instant::now(), work, token, owner, done };
                kept.lock().expect("the rows").push(row);
            }
        });
        Witness { at, came }
    }

    /// All that came, in order.
    pub fn rows(&self) -> Vec<Came> {
        self.came.lock().expect("the rows").clone()
    }

    /// Invariant 2 over all that was carried out: no effect of a lower token after one of a higher, and no token of two owners.
    pub fn check(&self) -> Result<usize, String> {
        check(&self.rows())
    }
}

fn check(rows: &[Came]) -> Result<usize, String> {
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
mod tests {
    use super::*;

    /// The checker is seen to fail.
    #[test]
    fn a_lower_token_after_a_higher_one_is_told() {
        let row = |token, owner: &str, done| Came {
            at: Instant::now(),
            work: "w".into(),
            token,
            owner: owner.into(),
            done,
        };
        assert_eq!(check(&[row(1, "a", true), row(4, "b", true), row(1, "a", false)]), Ok(2));
        assert!(check(&[row(4, "b", true), row(1, "a", true)]).is_err());
        assert!(check(&[row(4, "b", true), row(4, "a", true)]).is_err());
    }
}
