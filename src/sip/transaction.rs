//! State machines of RFC 3261 §17 transactions, with the Accepted states of RFC 6026. They do no I/O and do not
//! sleep: each one returns the time of its next timer and the action to take when the timer fires.

use crate::Micros;

/// The timer values of §17.1.1.1, all multiples of T1.
#[derive(Clone, Copy, Debug)]
pub struct Timers {
    /// T1: estimate of the round-trip time.
    pub t1: Micros,
}

impl Timers {
    /// T2: the longest interval between retransmissions.
    pub fn t2(&self) -> Micros {
        8 * self.t1
    }

    /// T4: the longest time that a message remains in the network.
    pub fn t4(&self) -> Micros {
        10 * self.t1
    }

    /// 64·T1: duration of timers B, F, H, J, L and M.
    pub fn timeout(&self) -> Micros {
        64 * self.t1
    }
}

/// A scheduled retransmission and the interval that precedes it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Retransmission {
    at: Micros,
    interval: Micros,
}

/// State of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Client: Calling (INVITE) or Trying. Server: no response sent yet.
    Trying,
    /// A provisional response has been sent or received.
    Proceeding,
    /// A final response other than a 2xx to an INVITE has been sent or received.
    Completed,
    /// A 2xx to an INVITE has been sent or received (RFC 6026).
    Accepted,
    /// Server: the ACK has been received.
    Confirmed,
    /// The transaction has ended.
    Terminated,
}

/// Action to take after a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerAction {
    /// Retransmit the last message.
    Retransmit,
    /// Client: no final response was received. Server: no ACK was received.
    TimedOut,
    /// No action; the state may have changed.
    Nothing,
}

/// Action to take after a response to a client transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseAction {
    /// Pass the response to the transaction user.
    PassUp,
    /// A retransmitted final response: send the ACK again, do not pass the response on.
    ResendAck,
    /// Discard the response.
    Drop,
}

/// State machine of a client transaction, for INVITE (§17.1.1) or another method (§17.1.2).
#[derive(Debug)]
pub struct ClientMachine {
    /// Current state.
    pub state: State,
    invite: bool,
    reliable: bool,
    timers: Timers,
    /// Timer A or E.
    retransmission: Option<Retransmission>,
    /// Expiry of timer B or F, later of D, K or M.
    expires_at: Micros,
}

impl ClientMachine {
    /// Starts the transaction; its request has just been sent.
    pub fn new(now: Micros, invite: bool, reliable: bool, timers: Timers) -> Self {
        let retransmission =
            (!reliable).then_some(Retransmission { at: now + timers.t1, interval: timers.t1 });
        ClientMachine {
            state: State::Trying,
            invite,
            reliable,
            timers,
            retransmission,
            expires_at: now + timers.timeout(),
        }
    }

    /// Processes a response.
    pub fn on_response(&mut self, now: Micros, code: u16) -> ResponseAction {
        match (self.state, code) {
            (State::Trying | State::Proceeding, 100..200) => {
                self.state = State::Proceeding;
                if self.invite {
                    // §17.1.1.2: a provisional response ends the retransmissions and timer B.
                    self.retransmission = None;
                    self.expires_at = Micros::MAX;
                }
                ResponseAction::PassUp
            }
            (State::Trying | State::Proceeding, 200..300) if self.invite => {
                (self.state, self.retransmission) = (State::Accepted, None);
                self.expires_at = now + self.timers.timeout();
                ResponseAction::PassUp
            }
            (State::Trying | State::Proceeding, _) => {
                (self.state, self.retransmission) = (State::Completed, None);
                let linger = match (self.reliable, self.invite) {
                    (true, _) => 0,
                    (false, true) => self.timers.timeout(),
                    (false, false) => self.timers.t4(),
                };
                self.expires_at = now + linger;
                ResponseAction::PassUp
            }
            // Each 2xx is passed on: it may come from another branch of a fork, or its ACK may have been lost.
            (State::Accepted, 200..300) => ResponseAction::PassUp,
            (State::Completed, 300..) if self.invite => ResponseAction::ResendAck,
            _ => ResponseAction::Drop,
        }
    }

    /// Stops retransmitting the request; responses to it are still processed.
    pub fn stop_retransmissions(&mut self) {
        self.retransmission = None;
    }

    /// Whether a retransmission of the request is scheduled.
    pub fn may_retransmit(&self) -> bool {
        self.retransmission.is_some()
    }

    /// Time of the next timer.
    pub fn next_timer_at(&self) -> Option<Micros> {
        let expires_at = (self.state != State::Terminated).then_some(self.expires_at);
        self.retransmission.map(|r| r.at).into_iter().chain(expires_at).min()
    }

    /// Runs the timers that have expired.
    pub fn tick(&mut self, now: Micros) -> TimerAction {
        if self.state != State::Terminated && now >= self.expires_at {
            let waiting = matches!(self.state, State::Trying | State::Proceeding);
            (self.state, self.retransmission) = (State::Terminated, None);
            return if waiting { TimerAction::TimedOut } else { TimerAction::Nothing };
        }
        let Some(retransmission) = self.retransmission.filter(|r| now >= r.at) else {
            return TimerAction::Nothing;
        };
        let interval = if self.invite {
            2 * retransmission.interval
        } else if self.state == State::Proceeding {
            self.timers.t2()
        } else {
            (2 * retransmission.interval).min(self.timers.t2())
        };
        self.retransmission = Some(Retransmission { at: now + interval, interval });
        TimerAction::Retransmit
    }
}

/// State machine of a server transaction, for INVITE (§17.2.1) or another method (§17.2.2).
#[derive(Debug)]
pub struct ServerMachine {
    /// Current state.
    pub state: State,
    invite: bool,
    reliable: bool,
    timers: Timers,
    /// Timer G.
    retransmission: Option<Retransmission>,
    /// Expiry of timer H, later of I, J or L.
    expires_at: Micros,
}

impl ServerMachine {
    /// Starts the transaction; its request has just been received.
    pub fn new(invite: bool, reliable: bool, timers: Timers) -> Self {
        ServerMachine {
            state: State::Trying,
            invite,
            reliable,
            timers,
            retransmission: None,
            expires_at: Micros::MAX,
        }
    }

    /// Records that the transaction user sends a response; false if a final response has already been sent.
    pub fn respond(&mut self, now: Micros, code: u16) -> bool {
        if !matches!(self.state, State::Trying | State::Proceeding) {
            return false;
        }
        let (state, linger) = match (code, self.invite) {
            (100..200, _) => {
                self.state = State::Proceeding;
                return true;
            }
            (200..300, true) => (State::Accepted, self.timers.timeout()),
            (_, true) => {
                if !self.reliable {
                    self.retransmission =
                        Some(Retransmission { at: now + self.timers.t1, interval: self.timers.t1 });
                }
                (State::Completed, self.timers.timeout())
            }
            (_, false) => (State::Completed, if self.reliable { 0 } else { self.timers.timeout() }),
        };
        (self.state, self.expires_at) = (state, now + linger);
        true
    }

    /// Whether a retransmitted request is answered with the last response. A 2xx is retransmitted by
    /// [`AnswerRetransmitter`].
    pub fn retransmits_response(&self) -> bool {
        matches!(self.state, State::Proceeding | State::Completed)
    }

    /// Processes the ACK of a final response other than 2xx.
    pub fn on_ack(&mut self, now: Micros) {
        if self.invite && self.state == State::Completed {
            (self.state, self.retransmission) = (State::Confirmed, None);
            self.expires_at = now + if self.reliable { 0 } else { self.timers.t4() };
        }
    }

    /// Time of the next timer.
    pub fn next_timer_at(&self) -> Option<Micros> {
        let expires_at =
            (self.state != State::Terminated && self.expires_at != Micros::MAX).then_some(self.expires_at);
        self.retransmission.map(|r| r.at).into_iter().chain(expires_at).min()
    }

    /// Runs the timers that have expired.
    pub fn tick(&mut self, now: Micros) -> TimerAction {
        if self.state != State::Terminated && now >= self.expires_at {
            let awaits_ack = self.invite && self.state == State::Completed;
            (self.state, self.retransmission) = (State::Terminated, None);
            return if awaits_ack { TimerAction::TimedOut } else { TimerAction::Nothing };
        }
        let Some(retransmission) = self.retransmission.filter(|r| now >= r.at) else {
            return TimerAction::Nothing;
        };
        let interval = (2 * retransmission.interval).min(self.timers.t2());
        self.retransmission = Some(Retransmission { at: now + interval, interval });
        TimerAction::Retransmit
    }
}

/// Retransmits a 2xx until its ACK is received (§13.3.1.4), over any transport.
#[derive(Debug)]
pub struct AnswerRetransmitter {
    timers: Timers,
    retransmission: Retransmission,
    expires_at: Micros,
    acked: bool,
}

impl AnswerRetransmitter {
    /// Starts the timers; the 2xx has just been sent.
    pub fn new(now: Micros, timers: Timers) -> Self {
        let retransmission = Retransmission { at: now + timers.t1, interval: timers.t1 };
        AnswerRetransmitter { timers, retransmission, expires_at: now + timers.timeout(), acked: false }
    }

    /// Records that the ACK has been received.
    pub fn on_ack(&mut self) {
        self.acked = true;
    }

    /// Whether no ACK is awaited: it has been received, or the wait for it has timed out.
    pub fn is_acked(&self) -> bool {
        self.acked
    }

    /// Time of the next timer.
    pub fn next_timer_at(&self) -> Option<Micros> {
        (!self.acked).then_some(self.retransmission.at.min(self.expires_at))
    }

    /// Runs the timers that have expired.
    pub fn tick(&mut self, now: Micros) -> TimerAction {
        if self.acked {
            return TimerAction::Nothing;
        }
        if now >= self.expires_at {
            self.acked = true;
            return TimerAction::TimedOut;
        }
        if now < self.retransmission.at {
            return TimerAction::Nothing;
        }
        let interval = (2 * self.retransmission.interval).min(self.timers.t2());
        self.retransmission = Retransmission { at: now + interval, interval };
        TimerAction::Retransmit
    }
}
