//! Whether a front takes clients: in service, sent away, or at its end. Pure: the time comes with each question.

use crate::Micros;

/// From the order on, fronts may still send new connections for this long: they ask ten times a second, and stop 0.2 s
/// after a no. What is closed earlier only comes again.
const SETTLE: Micros = 400_000;
/// From here on a connection that is never idle is made to fall idle: 4 s after the order it must have been without a
/// request for 2 s.
const TURN_AWAY: Micros = 1_200_000;
/// After SIGTERM, set-ups keep coming for a while: new connections for 0.4 s, requests on open ones 0.2 s more.
const STOP_LEAST: Micros = 850_000;
/// Standing calls may go on this long after SIGTERM, or as long as the most patient caller waits where that is less, and open
/// ones a little longer: SIGKILL may come 0.7 s after that.
const STOP_MOST: Micros = 3_000_000;
/// How much longer open ones may go on; what is left of the 0.7 s is for the last words.
const STOP_OPEN: Micros = 425_000;
/// With a successor there is nothing to release and nothing to hurry for: open calls have their own deadlines, what
/// is handed over has to be read, and callers have to leave, who are turned away at last.
const SUCCEEDED_LEAST: Micros = 1_000_000;
const SUCCEEDED_CALLERS: Micros = 3_000_000;
const SUCCEEDED_MOST: Micros = 10_000_000;
/// When a call that is turned away may come again; it will find another gatekeeper.
const COME_BACK: Micros = 100_000;

/// What a front does for clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Service {
    /// Since when the operators have it out of service.
    out: Option<Micros>,
    /// Since when the program ends.
    stopping: Option<Micros>,
    /// Another process takes clients at the same address.
    succeeded: bool,
    /// How long the most patient caller waits; `None`: for long.
    patience: Option<Micros>,
}

impl Service {
    /// For callers of whom none waits longer than this.
    pub fn of(patience: Micros) -> Service {
        Service { patience: Some(patience).filter(|p| *p > 0), ..Service::default() }
    }

    /// The operators say whether it is to be out of service. The same again changes nothing.
    pub fn order(&mut self, now: Micros, out: bool) {
        self.out = out.then(|| self.out.unwrap_or(now));
    }

    /// The program is told to end.
    pub fn stop(&mut self, now: Micros) {
        self.stopping.get_or_insert(now);
    }

    /// Another process takes clients at the same address, or does no longer.
    pub fn succeeded(&mut self, is: bool) {
        self.succeeded = is;
    }

    /// Another process takes clients at the same address.
    pub fn succeeded_by(&self) -> bool {
        self.succeeded
    }

    /// This process gives way to another: it listens no more, and hands over what stands.
    pub fn gives_way(&self) -> bool {
        self.succeeded && self.stopping.is_some()
    }

    /// Whether the end has come, with so many calls open and standing, and callers' connections: what comes in is still
    /// answered, standing calls may come to their end, then it is over.
    pub fn ended(&self, now: Micros, open: usize, standing: usize, callers: usize) -> bool {
        let Some(since) = self.stopping else { return false };
        let gone = now.saturating_sub(since);
        if self.succeeded {
            let left = callers == 0 || gone >= SUCCEEDED_CALLERS;
            return gone >= SUCCEEDED_LEAST && open + standing == 0 && left || gone >= SUCCEEDED_MOST;
        }
        let most = self.patience.unwrap_or(STOP_MOST).min(STOP_MOST);
        gone >= STOP_LEAST.min(most + STOP_OPEN) && open + standing == 0
            || gone >= most && gone >= STOP_LEAST.min(most + STOP_OPEN) && open == 0
            || gone >= most + STOP_OPEN
    }

    /// Clients are welcome.
    pub fn takes_clients(&self) -> bool {
        self.out.is_none() && self.stopping.is_none()
    }

    /// Since when the program ends.
    pub fn stopping(&self) -> Option<Micros> {
        self.stopping
    }

    /// Clients' connections are to be closed where nothing is open on them.
    pub fn sheds(&self, now: Micros) -> bool {
        self.gives_way() || self.out.is_some_and(|since| now >= since + SETTLE)
    }

    /// New calls are turned away, with when they may come again. `at_once`: there are no connections that clients
    /// keep to this gatekeeper, so nothing else has to come first.
    pub fn turns_away(&self, now: Micros, at_once: bool) -> Option<Micros> {
        let after = if at_once { 0 } else { TURN_AWAY };
        let since = self.stopping.filter(|_| self.gives_way()).or(self.out);
        since.filter(|since| now >= since + after).map(|_| COME_BACK)
    }
}

#[cfg(test)]
mod tests;
