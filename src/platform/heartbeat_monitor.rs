//! Heartbeat monitoring. Servers send unsolicited load reports at regular intervals on each connection; the longest
//! recent interval bounds how long a working connection can be silent. Pure: intervals in, a bound out.

use crate::Micros;

/// Number of most recent gaps that are kept.
const GAP_COUNT: usize = 4;
/// A server that reports less often than this has no usable heartbeat: its silence would be detected too late.
const MAX_GAP: Micros = 1_000_000;
/// Lower limit of the bound, however fast the heartbeat: a busy machine delays either side by as much.
const MIN_SILENCE: Micros = 400_000;
/// A report may be later than the longest recent gap by this part of the gap ...
const LATENESS_DIVISOR: u64 = 4;
/// ... plus this time, for delays on a busy machine.
const LATENESS_ALLOWANCE: Micros = 50_000;

/// The most recent gaps between a server's unsolicited reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeartbeatMonitor {
    gaps: [Micros; GAP_COUNT],
    count: usize,
}

impl HeartbeatMonitor {
    /// Records the time between two successive reports on one connection.
    pub fn record_gap(&mut self, gap: Micros) {
        self.gaps[self.count % GAP_COUNT] = gap;
        self.count += 1;
    }

    /// The longest silence of a connection that still works; `None` if the server has no usable heartbeat.
    pub fn max_silence(&self) -> Option<Micros> {
        let longest = self.gaps.iter().copied().max().filter(|_| self.count >= GAP_COUNT)?;
        let bound = longest + longest / LATENESS_DIVISOR + LATENESS_ALLOWANCE;
        (longest <= MAX_GAP).then_some(bound.max(MIN_SILENCE))
    }
}

#[cfg(test)]
mod tests;
