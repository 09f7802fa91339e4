//! The transaction machines of RFC 3261 §17, with the Accepted states of RFC 6026. Timers are data: each machine
//! says when it next wants a tick and what is to be done then; nothing here sends or sleeps.

use crate::Micros;

/// The timer values of §17.1.1.1, all multiples of the first one.
#[derive(Clone, Copy, Debug)]
pub struct Timers {
    /// T1: the round trip's estimate.
    pub t1: Micros,
}

impl Timers {
    /// T2: the longest interval between repeats.
    pub fn t2(&self) -> Micros {
        8 * self.t1
    }

    /// T4: the longest time that a message stays in the network.
    pub fn t4(&self) -> Micros {
        10 * self.t1
    }

    /// 64·T1: timers B, F, H, J, L and M.
    pub fn timeout(&self) -> Micros {
        64 * self.t1
    }
}

/// A retransmission that is due at a time, with the interval to the next one.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Retransmission {
    at: Micros,
    interval: Micros,
}

/// Where a transaction is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Client: Calling or Trying. Server: Trying.
    Trying,
    /// A provisional response has passed.
    Proceeding,
    /// A final response other than an INVITE's 2xx has passed.
    Completed,
    /// An INVITE's 2xx has passed (RFC 6026).
    Accepted,
    /// Server: the ACK has come.
    Confirmed,
    /// Over.
    Terminated,
}

/// What a tick asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerAction {
    /// Send the last message again.
    Retransmit,
    /// Client: no final response came. Server: no ACK came.
    TimedOut,
    /// Nothing; the machine has moved on.
    Nothing,
}

/// What a client transaction makes of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseAction {
    /// Pass it up.
    PassUp,
    /// A retransmission of the final response: send the ACK again, pass nothing up.
    ResendAck,
    /// Drop it.
    Drop,
}

/// A client transaction, INVITE (§17.1.1) or other (§17.1.2).
#[derive(Debug)]
pub struct ClientMachine {
    /// Where it is.
    pub state: State,
    invite: bool,
    reliable: bool,
    timers: Timers,
    /// Timer A or E.
    retransmission: Option<Retransmission>,
    /// Timer B or F, then D, K or M.
    expires_at: Micros,
}

impl ClientMachine {
    /// A request has just been sent.
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

    /// Takes a response.
    pub fn on_response(&mut self, now: Micros, code: u16) -> ResponseAction {
        match (self.state, code) {
            (State::Trying | State::Proceeding, 100..200) => {
                self.state = State::Proceeding;
                if self.invite {
                    // §17.1.1.2: no repeats and no timer B once a provisional response has come.
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
            // Each 2xx goes up: it may be another branch of a fork, or its ACK may have been lost.
            (State::Accepted, 200..300) => ResponseAction::PassUp,
            (State::Completed, 300..) if self.invite => ResponseAction::ResendAck,
            _ => ResponseAction::Drop,
        }
    }

    /// Sends the request no more, but goes on listening for what it may still cause.
    pub fn stop_retransmissions(&mut self) {
        self.retransmission = None;
    }

    /// Whether the request may still be repeated.
    pub fn may_retransmit(&self) -> bool {
        self.retransmission.is_some()
    }

    /// When a tick is wanted.
    pub fn next_timer_at(&self) -> Option<Micros> {
        let expires_at = (self.state != State::Terminated).then_some(self.expires_at);
        self.retransmission.map(|r| r.at).into_iter().chain(expires_at).min()
    }

    /// Takes a tick.
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

/// A server transaction, INVITE (§17.2.1) or other (§17.2.2).
#[derive(Debug)]
pub struct ServerMachine {
    /// Where it is.
    pub state: State,
    invite: bool,
    reliable: bool,
    timers: Timers,
    /// Timer G.
    retransmission: Option<Retransmission>,
    /// Timer H, then I, J or L.
    expires_at: Micros,
}

impl ServerMachine {
    /// A request has just come.
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

    /// The user of the transaction sends a response; false if it has sent its final one already.
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

    /// The request came again: is the last response to be sent again? After a 2xx its own repeats do that.
    pub fn retransmits_response(&self) -> bool {
        matches!(self.state, State::Proceeding | State::Completed)
    }

    /// An ACK has come for a final response other than 2xx.
    pub fn on_ack(&mut self, now: Micros) {
        if self.invite && self.state == State::Completed {
            (self.state, self.retransmission) = (State::Confirmed, None);
            self.expires_at = now + if self.reliable { 0 } else { self.timers.t4() };
        }
    }

    /// When a tick is wanted.
    pub fn next_timer_at(&self) -> Option<Micros> {
        let expires_at =
            (self.state != State::Terminated && self.expires_at != Micros::MAX).then_some(self.expires_at);
        self.retransmission.map(|r| r.at).into_iter().chain(expires_at).min()
    }

    /// Takes a tick.
    pub fn tick(&mut self, now: Micros) -> TimerAction {
        if self.state != State::Terminated && now >= self.expires_at {
            let unheard = self.invite && self.state == State::Completed;
            (self.state, self.retransmission) = (State::Terminated, None);
            return if unheard { TimerAction::TimedOut } else { TimerAction::Nothing };
        }
        let Some(retransmission) = self.retransmission.filter(|r| now >= r.at) else {
            return TimerAction::Nothing;
        };
        let interval = (2 * retransmission.interval).min(self.timers.t2());
        self.retransmission = Some(Retransmission { at: now + interval, interval });
        TimerAction::Retransmit
    }
}

/// A 2xx that is retransmitted until its ACK arrives (§13.3.1.4), over any transport.
#[derive(Debug)]
pub struct AnswerRetransmitter {
    timers: Timers,
    retransmission: Retransmission,
    expires_at: Micros,
    acked: bool,
}

impl AnswerRetransmitter {
    /// The 2xx has just been sent.
    pub fn new(now: Micros, timers: Timers) -> Self {
        let retransmission = Retransmission { at: now + timers.t1, interval: timers.t1 };
        AnswerRetransmitter { timers, retransmission, expires_at: now + timers.timeout(), acked: false }
    }

    /// The ACK has come.
    pub fn on_ack(&mut self) {
        self.acked = true;
    }

    /// Whether it has.
    pub fn is_acked(&self) -> bool {
        self.acked
    }

    /// When a tick is wanted.
    pub fn next_timer_at(&self) -> Option<Micros> {
        (!self.acked).then_some(self.retransmission.at.min(self.expires_at))
    }

    /// Takes a tick.
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
