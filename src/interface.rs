//! The types of the decision module's interface: settings, events in, actions out. No decision stands here.
//!
//! Words are the field's: a *front* (one instance of the module) takes *calls* and makes *attempts* to set each
//! of them up at a *server*; servers belong to *pools*, and a call names its pool of first choice. Times are
//! microseconds of the front's own clock.

/// A time or a span, in microseconds.
pub type Micros = u64;

/// A call; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A signalling server, numbered by the embedding program. A replaced machine has a new number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// A pool of signalling servers (often of one).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolId(pub i64);

/// The number that is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Number(pub u64);

/// What a front is told at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// How many fronts share the servers, this one included.
    pub fronts: u32,
    /// This front's number, from 0.
    pub own_number: u32,
    /// Classes of call, by their place in this list.
    pub classes: Vec<Class>,
    /// A waiting set-up is sent again by the signalling network after this; 0: never.
    pub resend_after: Micros,
    /// Events come at most this often.
    pub tick: Micros,
    /// Most attempts for one call.
    pub max_attempts: u32,
    /// A call may have two attempts out at once.
    pub second_copies: bool,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Servers may be probed.
    pub may_probe: bool,
    /// Fronts may message one another.
    pub may_message: bool,
    /// Refused callers can be told how long to stay away.
    pub may_advise_retry: bool,
    /// The longest such advice that callers heed.
    pub max_retry_after: Micros,
    /// Fresh lists must be asked for.
    pub list_on_request: bool,
    /// Figures of the five rules.
    pub rules: Rules,
}

/// One class of call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// A call that stands within this time earns its full worth.
    pub aim: Micros,
    /// Worth of a call that stands in time.
    pub worth: f64,
    /// Share of the worth that is left after the aim.
    pub late_worth: f64,
    /// Pools that may take the class; `None` means any.
    pub pools: Option<Vec<PoolId>>,
    /// A set-up may be repeated although an earlier attempt may have run.
    pub repeatable: bool,
}

/// Figures of the rules that a front keeps whatever else it decides.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Time after the caller's limit in which a final answer still counts.
    pub answer_slack: Micros,
    /// Time in which sends to a draining or gone server must have ended.
    pub drain_grace: Micros,
    /// After a timed-out, cut or cancelled attempt the call is not sent again within this.
    pub release_wait: Micros,
    /// Share of its capacity that a server has right after its start, at least.
    pub start_capacity: f64,
    /// A server has its full capacity after this, at the latest.
    pub warm_up: Micros,
    /// A cold server falls when sent more than this many times its present capacity ...
    pub tip_multiple: f64,
    /// ... for this long, by all fronts together.
    pub fall_time: Micros,
}

/// Whether a server runs, as the list has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Takes calls.
    Up,
    /// Finishes its calls; takes nothing new.
    Draining,
    /// Gone.
    Removed,
}

/// One line of the server list.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Its pool.
    pub pool: PoolId,
    /// When its processor last started; 0: long ago.
    pub started_at: Micros,
    /// Whether it takes calls.
    pub status: Status,
}

/// What a list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Changed lines only.
    Changes,
    /// Every line; a server that is missing is gone.
    Whole,
    /// Every line as this front last had it before a restart, maybe old.
    Restored,
}

/// A server's own report of its load. Any figure may be absent, late or wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Share of the processor that is busy.
    pub busy: Option<f64>,
    /// Set-ups that wait at the processor.
    pub waiting: Option<f64>,
    /// Messages in work at the processor.
    pub in_work: Option<f64>,
    /// Wait at the processor, in milliseconds.
    pub wait_ms: Option<f64>,
    /// New set-ups a second that it can take from all fronts together.
    pub allowed: Option<f64>,
    /// Share of new set-ups that it asks each front to hold back.
    pub cut: Option<f64>,
    /// Free lines.
    pub free_lines: Option<f64>,
    /// Lines in all.
    pub lines: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The call stood and has ended in order.
    Completed,
    /// The called number or the signalling failed.
    Failed,
    /// Turned away before it ran.
    Full,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    Unreachable,
    /// The set-up or the standing call was cut.
    Cut,
    /// Cancelled by this front or released by the caller.
    Cancelled,
    /// Never sent.
    Void,
}

/// What a turned-away or failed attempt was told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cause {
    /// Nothing.
    #[default]
    Untold,
    /// No free line at the server.
    NoLine,
    /// The server's processor is full; it may name a wait.
    ProcessorFull {
        /// How long to stay away, where told.
        wait: Option<Micros>,
    },
    /// Every line of the called number is busy.
    NumberBusy,
}

/// What a front sees. Events come in order, each with the time at which it is seen.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the server list.
    List {
        /// What the list holds.
        scope: ListScope,
        /// Its lines.
        entries: Vec<ServerEntry>,
    },
    /// A list that was asked for did not come.
    ListUnavailable,
    /// A call to set up; one final answer is owed by `due`.
    Call {
        /// The call.
        call: CallId,
        /// Its class.
        class: usize,
        /// The number called.
        number: Number,
        /// When its caller gives up.
        due: Micros,
        /// Its pool of first choice.
        first_choice: PoolId,
        /// The caller is known to try again.
        repeat: bool,
        /// In transit from another front: only its first choice may take it.
        in_transit: bool,
        /// Most attempts for this call; the settings' limit holds too.
        attempts: u32,
    },
    /// An attempt's call stands.
    Stands {
        /// The call.
        call: CallId,
        /// Which attempt, from 0.
        attempt: u32,
        /// Where.
        server: ServerId,
        /// Time since the attempt was sent.
        took: Micros,
    },
    /// An attempt has ended; each ends once, standing or not.
    AttemptEnded {
        /// The call.
        call: CallId,
        /// Which attempt, from 0.
        attempt: u32,
        /// Where.
        server: ServerId,
        /// How.
        outcome: Outcome,
        /// What was said of it.
        cause: Cause,
        /// Time since the attempt was sent.
        took: Micros,
        /// The call is over: nothing is owed for it.
        over: bool,
        /// It rests for so long; the release wait holds too.
        rest: Micros,
        /// It may be tried again then.
        again: bool,
        /// The server's load.
        load: LoadReport,
    },
    /// The caller has left; nothing is owed.
    CallerGone {
        /// The call.
        call: CallId,
    },
    /// A load report outside an attempt.
    Load {
        /// The server.
        server: ServerId,
        /// It answered.
        answered: bool,
        /// Its load.
        load: LoadReport,
    },
    /// A message from another front.
    Message {
        /// Its number.
        from: u32,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// A timer that was asked for is due.
    Timer {
        /// Its key.
        key: u64,
    },
}

/// What a front does. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Try to set the call up.
    Attempt {
        /// The call.
        call: CallId,
        /// Where.
        server: ServerId,
        /// The attempt times out after this.
        time_out: Micros,
    },
    /// Cancel an attempt.
    Cancel {
        /// The call.
        call: CallId,
        /// Which attempt, from 0.
        attempt: u32,
    },
    /// Final answer: turned away.
    Refuse {
        /// The call.
        call: CallId,
        /// How long its caller should stay away; 0: no advice.
        retry_after: Micros,
    },
    /// Final answer: given up.
    Fail {
        /// The call.
        call: CallId,
    },
    /// Ask a server for its load.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Close idle connections to a server.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
    /// Tell another front, or all (`None`).
    Tell {
        /// Its number.
        to: Option<u32>,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// Ask for changes of the list from now on, or no longer.
    WatchList {
        /// On or off.
        on: bool,
    },
    /// Ask for the whole list once.
    FetchList,
    /// Ask for a `Timer` event.
    SetTimer {
        /// Time from now.
        delay: Micros,
        /// Its key.
        key: u64,
    },
    /// A line for the operators' log.
    Log {
        /// The text.
        text: String,
    },
}

/// A server as a front sees it now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Gauge {
    /// Estimated occupancy.
    pub p: f64,
    /// Fresh calls pass.
    pub u: bool,
    /// Rate of the token gate, calls a second.
    pub r: f64,
    /// Tokens in hand.
    pub tokens: f64,
    /// It has not answered since an attempt there was given up.
    pub silent: bool,
}
