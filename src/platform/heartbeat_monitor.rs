//! How regularly a server reports its state unasked on a connection (its heartbeat), and so how soon a silent connection is known to
//! be dead. Pure: gaps in, a bound out.

use crate::Micros;

/// Gaps that are remembered, the newest.
const GAP_COUNT: usize = 4;
/// A server that reports less often than this has no heartbeat that would tell anything soon.
const MAX_GAP: Micros = 1_000_000;
/// However quick a heartbeat, a silence shorter than this is no sign: a busy machine holds either side up for as long.
const MIN_SILENCE: Micros = 400_000;
/// Beyond the longest gap of late a live connection may be late by this part of it, and by what a busy machine takes.
const LATENESS_DIVISOR: u64 = 4;
const LATENESS_ALLOWANCE: Micros = 50_000;

/// The gaps between a server's unasked reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeartbeatMonitor {
    gaps: [Micros; GAP_COUNT],
    count: usize,
}

impl HeartbeatMonitor {
    /// Records that two reports have come on one connection, so far apart.
    pub fn record_gap(&mut self, gap: Micros) {
        self.gaps[self.count % GAP_COUNT] = gap;
        self.count += 1;
    }

    /// The longest silence of a connection that is not dead; `None`: no heartbeat is known.
    pub fn max_silence(&self) -> Option<Micros> {
        let longest = self.gaps.iter().copied().max().filter(|_| self.count >= GAP_COUNT)?;
        let bound = longest + longest / LATENESS_DIVISOR + LATENESS_ALLOWANCE;
        (longest <= MAX_GAP).then_some(bound.max(MIN_SILENCE))
    }
}

#[cfg(test)]
mod tests;
