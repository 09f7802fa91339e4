//! The transaction machines of RFC 3261 §17, with the Accepted states of RFC 6026. Timers are data: each machine
//! says when it next wants a tick and what is to be done then; nothing here sends or sleeps.

use crate::Micros;

/// The timer values of §17.1.1.1, all multiples of the first one.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// T1: the round trip's estimate.
    pub t1: Micros,
}

impl Times {
    /// T2: the longest gap between repeats.
    pub fn t2(&self) -> Micros {
        8 * self.t1
    }

    /// T4: the longest time that a message stays in the network.
    pub fn t4(&self) -> Micros {
        10 * self.t1
    }

    /// 64·T1: timers B, F, H, J, L and M.
    pub fn all(&self) -> Micros {
        64 * self.t1
    }
}

/// A repeat that is due at a time, with the gap to the next one.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Repeat {
    at: Micros,
    gap: Micros,
}

/// Where a transaction is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Client: Calling or Trying. Server: Trying.
    Begun,
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
pub enum Due {
    /// Send the last message again.
    Resend,
    /// Client: no final response came. Server: no ACK came.
    TimedOut,
    /// Nothing; the machine has moved on.
    Nothing,
}

/// What a client transaction makes of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Pass it up.
    Pass,
    /// A repeat of the final response: send the ACK again, pass nothing up.
    Again,
    /// Drop it.
    Drop,
}

/// A client transaction, INVITE (§17.1.1) or other (§17.1.2).
#[derive(Debug)]
pub struct Client {
    /// Where it is.
    pub state: State,
    invite: bool,
    reliable: bool,
    times: Times,
    /// Timer A or E.
    repeat: Option<Repeat>,
    /// Timer B or F, then D, K or M.
    until: Micros,
}

impl Client {
    /// A request has just been sent.
    pub fn new(now: Micros, invite: bool, reliable: bool, times: Times) -> Self {
        let repeat = (!reliable).then_some(Repeat { at: now + times.t1, gap: times.t1 });
        Client { state: State::Begun, invite, reliable, times, repeat, until: now + times.all() }
    }

    /// Takes a response.
    pub fn response(&mut self, now: Micros, code: u16) -> Heard {
        match (self.state, code) {
            (State::Begun | State::Proceeding, 100..200) => {
                self.state = State::Proceeding;
                if self.invite {
                    // §17.1.1.2: no repeats and no timer B once a provisional response has come.
                    self.repeat = None;
                    self.until = Micros::MAX;
                }
                Heard::Pass
            }
            (State::Begun | State::Proceeding, 200..300) if self.invite => {
                (self.state, self.repeat) = (State::Accepted, None);
                self.until = now + self.times.all();
                Heard::Pass
            }
            (State::Begun | State::Proceeding, _) => {
                (self.state, self.repeat) = (State::Completed, None);
                let linger = match (self.reliable, self.invite) {
                    (true, _) => 0,
                    (false, true) => self.times.all(),
                    (false, false) => self.times.t4(),
                };
                self.until = now + linger;
                Heard::Pass
            }
            // Each 2xx goes up: it may be another branch of a fork, or its ACK may have been lost.
            (State::Accepted, 200..300) => Heard::Pass,
            (State::Completed, 300..) if self.invite => Heard::Again,
            _ => Heard::Drop,
        }
    }

    /// Sends the request no more, but goes on listening for what it may still cause.
    pub fn mute(&mut self) {
        self.repeat = None;
    }

    /// Whether the request may still be repeated.
    pub fn repeats(&self) -> bool {
        self.repeat.is_some()
    }

    /// When a tick is wanted.
    pub fn due(&self) -> Option<Micros> {
        let until = (self.state != State::Terminated).then_some(self.until);
        self.repeat.map(|r| r.at).into_iter().chain(until).min()
    }

    /// Takes a tick.
    pub fn tick(&mut self, now: Micros) -> Due {
        if self.state != State::Terminated && now >= self.until {
            let waiting = matches!(self.state, State::Begun | State::Proceeding);
            (self.state, self.repeat) = (State::Terminated, None);
            return if waiting { Due::TimedOut } else { Due::Nothing };
        }
        let Some(repeat) = self.repeat.filter(|r| now >= r.at) else { return Due::Nothing };
        let gap = if self.invite {
            2 * repeat.gap
        } else if self.state == State::Proceeding {
            self.times.t2()
        } else {
            (2 * repeat.gap).min(self.times.t2())
        };
        self.repeat = Some(Repeat { at: now + gap, gap });
        Due::Resend
    }
}

/// A server transaction, INVITE (§17.2.1) or other (§17.2.2).
#[derive(Debug)]
pub struct Server {
    /// Where it is.
    pub state: State,
    invite: bool,
    reliable: bool,
    times: Times,
    /// Timer G.
    repeat: Option<Repeat>,
    /// Timer H, then I, J or L.
    until: Micros,
}

impl Server {
    /// A request has just come.
    pub fn new(invite: bool, reliable: bool, times: Times) -> Self {
        Server { state: State::Begun, invite, reliable, times, repeat: None, until: Micros::MAX }
    }

    /// The user of the transaction sends a response; false if it has sent its final one already.
    pub fn respond(&mut self, now: Micros, code: u16) -> bool {
        if !matches!(self.state, State::Begun | State::Proceeding) {
            return false;
        }
        let (state, linger) = match (code, self.invite) {
            (100..200, _) => {
                self.state = State::Proceeding;
                return true;
            }
            (200..300, true) => (State::Accepted, self.times.all()),
            (_, true) => {
                if !self.reliable {
                    self.repeat = Some(Repeat { at: now + self.times.t1, gap: self.times.t1 });
                }
                (State::Completed, self.times.all())
            }
            (_, false) => (State::Completed, if self.reliable { 0 } else { self.times.all() }),
        };
        (self.state, self.until) = (state, now + linger);
        true
    }

    /// The request came again: is the last response to be sent again? After a 2xx its own repeats do that.
    pub fn request_again(&self) -> bool {
        matches!(self.state, State::Proceeding | State::Completed)
    }

    /// An ACK has come for a final response other than 2xx.
    pub fn ack(&mut self, now: Micros) {
        if self.invite && self.state == State::Completed {
            (self.state, self.repeat) = (State::Confirmed, None);
            self.until = now + if self.reliable { 0 } else { self.times.t4() };
        }
    }

    /// When a tick is wanted.
    pub fn due(&self) -> Option<Micros> {
        let until = (self.state != State::Terminated && self.until != Micros::MAX).then_some(self.until);
        self.repeat.map(|r| r.at).into_iter().chain(until).min()
    }

    /// Takes a tick.
    pub fn tick(&mut self, now: Micros) -> Due {
        if self.state != State::Terminated && now >= self.until {
            let unheard = self.invite && self.state == State::Completed;
            (self.state, self.repeat) = (State::Terminated, None);
            return if unheard { Due::TimedOut } else { Due::Nothing };
        }
        let Some(repeat) = self.repeat.filter(|r| now >= r.at) else { return Due::Nothing };
        let gap = (2 * repeat.gap).min(self.times.t2());
        self.repeat = Some(Repeat { at: now + gap, gap });
        Due::Resend
    }
}

/// A 2xx that is sent again until its ACK comes (§13.3.1.4), over any transport.
#[derive(Debug)]
pub struct Answer {
    times: Times,
    repeat: Repeat,
    until: Micros,
    acked: bool,
}

impl Answer {
    /// The 2xx has just been sent.
    pub fn new(now: Micros, times: Times) -> Self {
        let repeat = Repeat { at: now + times.t1, gap: times.t1 };
        Answer { times, repeat, until: now + times.all(), acked: false }
    }

    /// The ACK has come.
    pub fn ack(&mut self) {
        self.acked = true;
    }

    /// Whether it has.
    pub fn acked(&self) -> bool {
        self.acked
    }

    /// When a tick is wanted.
    pub fn due(&self) -> Option<Micros> {
        (!self.acked).then_some(self.repeat.at.min(self.until))
    }

    /// Takes a tick.
    pub fn tick(&mut self, now: Micros) -> Due {
        if self.acked {
            return Due::Nothing;
        }
        if now >= self.until {
            self.acked = true;
            return Due::TimedOut;
        }
        if now < self.repeat.at {
            return Due::Nothing;
        }
        let gap = (2 * self.repeat.gap).min(self.times.t2());
        self.repeat = Repeat { at: now + gap, gap };
        Due::Resend
    }
}
