//! Decides between two processes that run under one id. When a process learns of another incarnation above its own, it
//! first takes a higher generation, since the other may be the stale record of a dead process. If the other then
//! reappears with a higher generation still, it is alive. The two then compare how long each has been running, by their
//! own monotonic clocks, and the older start yields: it stops sending in the fleet, keeps serving its calls, and
//! resumes when the id is no longer in use.

use std::net::SocketAddr;

use crate::Micros;

/// Maximum number of superseded incarnations kept.
const MAX_SUPERSEDED: usize = 16;
/// Reappearances after which the uptimes are compared. Not the first, since the record of a dead process may arrive
/// more than once.
const REAPPEARANCES_BEFORE_COMPARISON: u32 = 2;
/// Reappearances from which the nonce decides if the uptimes are too close to tell the starts apart.
const REAPPEARANCES_BEFORE_TIE_BREAK: u32 = 5;

/// Another process known to be running under this id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DuplicateProcess {
    /// Nonce of its start.
    pub nonce: u64,
    /// Address that it announces.
    pub address: SocketAddr,
    /// How long it had been running according to its last record.
    pub uptime: Micros,
}

/// How to react to another incarnation above this process's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// Take a generation above it.
    Supersede,
    /// It is alive: take a generation above it and report it.
    SupersedeDuplicate,
    /// It is alive and the newer start: go into standby.
    Yield,
}

/// An incarnation that this process took a higher generation than.
#[derive(Clone, Copy, Debug)]
struct Superseded {
    nonce: u64,
    /// This process's uptime at that time.
    uptime: Micros,
    reappearances: u32,
}

/// The incarnations that this process has superseded.
#[derive(Clone, Debug, Default)]
pub(super) struct SupersededIncarnations(Vec<Superseded>);

impl SupersededIncarnations {
    /// Judges an incarnation above this process's own. `other_uptime` is the uptime in its record, if a record is
    /// present. `stalled` means that this process has just missed time, so a successor may have been started in the
    /// meantime.
    pub fn judge(
        &mut self,
        own_nonce: u64,
        uptime: Micros,
        other_nonce: u64,
        other_uptime: Option<Micros>,
        stalled: bool,
    ) -> Verdict {
        if stalled && other_uptime.is_some_and(|other| other < uptime) {
            return Verdict::Yield;
        }
        let Some(superseded) = self.0.iter_mut().find(|p| p.nonce == other_nonce) else {
            if self.0.len() >= MAX_SUPERSEDED {
                self.0.remove(0);
            }
            self.0.push(Superseded { nonce: other_nonce, uptime, reappearances: 0 });
            return Verdict::Supersede;
        };
        // Without an uptime there is nothing to compare, and the reappearance is not counted.
        let Some(other_uptime) = other_uptime else { return Verdict::Supersede };
        superseded.reappearances += 1;
        let previous_uptime = std::mem::replace(&mut superseded.uptime, uptime);
        if superseded.reappearances < REAPPEARANCES_BEFORE_COMPARISON {
            Verdict::SupersedeDuplicate
        } else if other_uptime < previous_uptime
            || superseded.reappearances >= REAPPEARANCES_BEFORE_TIE_BREAK
                && other_uptime <= uptime
                && own_nonce < other_nonce
        {
            // The other sent its uptime after this process superseded it, and that uptime is below this process's own
            // at that time.
            Verdict::Yield
        } else {
            Verdict::SupersedeDuplicate
        }
    }

    /// Clears the history, when the id is no longer in use by another process.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}

#[cfg(test)]
mod tests;
