//! All decisions of cobaltspool; the types of its interface stand in `src/interface.rs`.
//!
//! Order: constants, state, occupancy, shut and gate, rule guards, routing, call life cycle. `docs/design.md`
//! tells what is kept of the paper (Kaufman et al.) and of the design page ("design"), and what is not.

use std::collections::{BTreeMap, BTreeSet};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use crate::interface::*;

// ---- Constants: unit, reason, source ----

/// Measurement interval T, microseconds. Paper 2 s, design 0.5 s; both are longer than an aim is worth: a jam
/// must be seen while its calls can still go elsewhere.
const T: Micros = 100_000;
/// Occupancy past which fresh calls are shut off (paper 0.80).
const P_MAX: f64 = 0.80;
/// Occupancy to which gated calls are driven (paper 0.60).
const P_TERM_MAX: f64 = 0.60;
/// Monitoring, control and tightening windows and the wait before the gate, in intervals (design 4, 16, 2, 8
/// of 0.5 s): short, since occupancy is measured as a wait, which is itself a sum over the past.
const W_M: usize = 1;
const W_C: usize = 3;
const W_T: usize = 2;
const N_WAIT: usize = 5;
/// r_min as a share of r_max (design: a twentieth).
const R_MIN_SHARE: f64 = 0.05;
/// Depth M of the token counter in seconds at r_max (design 3 s); a deep one lets held calls out in a burst.
const M_SECONDS: f64 = 0.5;
/// r_max is the top send rate over the last `RATE_SPANS` spans of `RATE_SPAN` (design: in a minute).
const RATE_SPAN: Micros = 5_000_000;
const RATE_SPANS: usize = 12;
/// Wait at which occupancy equals P_MAX, as a share of the shorter of shortest aim and resend time: past
/// half of the resend time a small further rise makes repeats, which are work that feeds the wait.
const WAIT_SHARE: f64 = 0.5;
/// Share of the least set-up delay that is work, not way.
const WORK_SHARE: f64 = 0.8;
/// Set-ups that one own unanswered set-up stands for, a front: others see the same server and send too.
/// Guards against jams of any cause before delays show them. Could harm: a front that sends alone.
const UNANSWERED_A_FRONT: f64 = 0.4;
/// A set-up that a later one has passed at its server is lost once it has waited this share of the shortest
/// aim, or this many of the least set-up delays there if that is longer, past the wait there: early enough to
/// come again within the aim. Guards against servers that lose set-ups or answers.
const LOST_SHARE: f64 = 0.2;
const LOST_FLOORS: u64 = 3;
/// How fast old evidence of a wait fades, seconds a second: a queue that gets nothing empties at 1, but other
/// fronts go on sending.
const DRAIN: f64 = 0.4;
/// Half width of the random spread of P_MAX by front and interval, as a share: fronts that see one server do
/// not shut and reopen in step.
const DITHER: f64 = 0.25;
/// Weight of one answer in the running share of bad answers.
const BAD_WEIGHT: f64 = 0.3;
/// What is left of that share after an interval: a shut server gives no answers that would lower it.
const BAD_FADE: f64 = 0.97;
/// Waiting calls that find no route before the rest wait for the next event: bounds the work of one event.
const MISSES_MOST: usize = 64;
/// Share of failed set-ups past which a server comes last in the choice of route.
const FAULTS_MANY: f64 = 0.4;
/// First and longest gap between trial calls to a silent server, microseconds.
const TRIAL_GAP: Micros = 500_000;
const TRIAL_GAP_MAX: Micros = 4_000_000;
/// Share of the cold budget that this front lets itself use: resends and other fronts' estimates may be off.
const COLD_MARGIN: f64 = 0.3;
/// How long an unused token of that budget holds, as a share of the time in which a server falls.
const COLD_KEPT: f64 = 0.3;
/// How long a number whose lines were all busy is left alone, microseconds.
const NUMBER_REST: Micros = 2_000_000;
/// Calls to one number within `NUMBER_SPAN` that make it crowded, and worth of such a call as a share.
const NUMBER_CROWD: f64 = 4.0;
const NUMBER_SPAN: Micros = 4_000_000;
const CROWD_WORTH: f64 = 0.1;
/// How long a caller that was refused may dial again, microseconds: such a call can earn only its late worth.
const REDIAL_MEMORY: Micros = 9_000_000;
/// A call that is worth less than its class's full worth goes only where the wait is under this share of the
/// shut's: it must not fill the server that a fresh call will need.
const LATE_SHARE: f64 = 0.4;

/// Share of a server's lines that such a call must leave free: it would hold one for as long as a fresh call.
const LATE_LINES: f64 = 0.1;
/// Own evidence of a server older than this is asked for anew before a call goes there, microseconds: about
/// the age that reports have anyway. Guards against hundreds of fronts that each hear too rarely to see a
/// jam come. Costs a probe for most calls of a front that is one of many; a front with much traffic asks
/// for none.
const NEWS_STALE: Micros = 600_000;
/// The same where the server tells a rate, which a bucket keeps to and which moves slower than a wait.
const RATE_STALE: Micros = 1_500_000;
/// A front's rate towards a server is at most an even share of what the server allows all, times 1 and this
/// for each call a second that it has a server: fronts differ in size, and one that hears often goes by
/// what it hears.
const ALLOWED_HEARD: f64 = 1.0;
/// How a told rate grows by the interval while nothing new is told: doubled in 1.4 s.
const ALLOWED_FADE: f64 = 1.05;
/// How long the count of free lines holds, microseconds: a server that nobody tells of must not stay shut.
const LINES_STALE: Micros = 500_000;

// ---- State ----

struct Server {
    pool: PoolId,
    status: Status,
    started_at: Micros,
    /// The shut: fresh calls pass.
    u: bool,
    /// Intervals since `u` last changed.
    held_for: usize,
    /// Occupancy of the last W_C intervals, newest first.
    samples: [f64; W_C],
    r: f64,
    tokens: f64,
    /// P_MAX with this interval's spread.
    limit: f64,
    /// Least set-up delay seen: way there and back and the work itself.
    floor: Micros,
    /// Latest evidence of a wait, microseconds, and when it was true.
    wait: f64,
    wait_at: Micros,
    /// The wait that the server last told.
    told_wait: f64,
    /// Lines in all, as told; they follow a server's size.
    lines: f64,
    busy: f64,
    /// Free lines as last told, less what was sent since, and when they were told.
    free: f64,
    free_at: Micros,
    bad: f64,
    /// Running share of set-ups that failed there.
    faults: f64,
    unanswered: BTreeMap<CallId, Micros>,
    /// When the latest attempt was sent that stood since.
    passed: Micros,
    heard: Micros,
    /// When its load was last told or felt, and whether it is being asked.
    news_at: Micros,
    earned_at: Micros,
    asked: bool,
    asked_at: Micros,
    /// Most calls a second from this front by the server's own word.
    allowed: f64,
    /// Tokens earned by that word up to the last one, and those hoped for since, while it fades.
    earned: f64,
    share: f64,
    silent: bool,
    trial_gap: Micros,
    next_trial: Micros,
    sent: [u32; RATE_SPANS],
    cold_tokens: f64,
    cold_at: Micros,
}

struct Call {
    class: usize,
    number: Number,
    first_choice: PoolId,
    in_transit: bool,
    due: Micros,
    /// Latest useful time for a send.
    latest: Micros,
    value: i64,
    /// Worth less than its class: late or to a crowded number.
    lesser: bool,
    sends: u32,
    sends_most: u32,
    /// An attempt may have run.
    ran: bool,
    tried: bool,
    out: Option<(ServerId, u32)>,
    free_at: Micros,
    avoid: Option<ServerId>,
    held: bool,
}

#[derive(Default)]
struct Called {
    calls: f64,
    at: Micros,
    busy_until: Micros,
    failed_at: Option<Micros>,
    out: u32,
}

/// One front's decisions.
pub struct Controller {
    set: Settings,
    rng: Pcg32,
    now: Micros,
    servers: BTreeMap<ServerId, Server>,
    calls: BTreeMap<CallId, Call>,
    /// Calls with no attempt out, the worthiest and most pressing first.
    waiting: BTreeSet<(i64, Micros, CallId)>,
    wakes: BTreeSet<(Micros, CallId)>,
    numbers: BTreeMap<Number, Called>,
    sticky: BTreeMap<PoolId, ServerId>,
    next_interval: Option<Micros>,
    intervals: u64,
    armed: Micros,
    /// The front's own last absence: a timer was due at the first, nothing was seen before the second.
    absent: (Micros, Micros),
    /// Own arrivals a second.
    arrivals: f64,
    arrived: u32,
    /// The interval in which lost attempts were last looked for.
    looked_at: u64,
}

impl Controller {
    /// A front with nothing known yet but its settings.
    pub fn new(set: Settings, seed: u64) -> Self {
        Controller {
            set,
            rng: Pcg32::seed_from_u64(seed),
            now: 0,
            servers: BTreeMap::new(),
            calls: BTreeMap::new(),
            waiting: BTreeSet::new(),
            wakes: BTreeSet::new(),
            numbers: BTreeMap::new(),
            sticky: BTreeMap::new(),
            next_interval: None,
            intervals: 0,
            armed: Micros::MAX,
            absent: (0, 0),
            arrivals: 0.0,
            arrived: 0,
            looked_at: 0,
        }
    }

    /// Takes one event and appends what is to be done. A smaller `now` than before counts as that.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if now > self.armed.saturating_add(2 * self.set.tick) && now > self.now {
            self.absent = (self.armed, now);
        }
        self.now = self.now.max(now);
        self.run_intervals();
        match event {
            Event::List { scope, entries } => self.take_list(scope, entries),
            Event::Call { call, class, number, due, first_choice, repeat, in_transit, attempts } => {
                self.take_call(call, class, number, due, first_choice, repeat, in_transit, attempts, out)
            }
            Event::Stands { call, server, took, .. } => {
                self.answered(call, server, Some(took));
                if let Some(c) = self.calls.get(&call) {
                    self.sticky.insert(c.first_choice, server);
                    self.end(call);
                }
            }
            Event::AttemptEnded { call, server, outcome, cause, took, over, load, rest, again, .. } => {
                self.attempt_ended(call, server, outcome, cause, took, over, load, rest, again, out)
            }
            Event::CallerGone { call } => self.end(call),
            Event::Load { server, answered, load } => {
                if answered && self.read_load(server, &load) {
                    self.answered_by(server);
                }
                if !answered {
                    // A probe waits at the processor like a set-up: one that fails says that it is pressed
                    // or gone.
                    self.saw_wait(server, self.pressed(server));
                    self.blame(server, false);
                }
                if let Some(s) = self.servers.get_mut(&server) {
                    s.asked = false; // also where it told nothing: a call must not wait for a lost probe
                }
            }
            Event::Timer { .. } => {
                if self.now >= self.armed {
                    self.armed = Micros::MAX;
                }
            }
            Event::Message { .. } | Event::ListUnavailable => {}
        }
        self.wake(out);
        self.call_off_lost(out);
        self.pump(out);
        self.arm(out);
    }

    /// What this front thinks of a server, for gauges and tests.
    pub fn gauge(&self, server: ServerId) -> Option<Gauge> {
        let s = self.servers.get(&server)?;
        Some(Gauge { p: self.occupancy(s), u: s.u, r: s.r, tokens: s.tokens, silent: s.silent })
    }

    // ---- Occupancy ----

    /// The wait that counts as P_MAX, microseconds.
    fn target(&self) -> f64 {
        let aim = self.set.classes.iter().map(|c| c.aim).min().unwrap_or(1_000_000);
        let resend = if self.set.resend_after > 0 { self.set.resend_after } else { aim };
        WAIT_SHARE * aim.min(resend).max(1) as f64
    }

    /// Occupancy of a server now, from all that is known of it: reports, own set-up delays, set-ups that wait
    /// unanswered, and the share of bad answers. An unheard server counts as 0 (design).
    fn occupancy(&self, s: &Server) -> f64 {
        let faded = s.wait - DRAIN * (self.now - s.wait_at) as f64;
        // A set-up that later ones have passed is lost, not waiting: its time-out will tell. Guards against
        // one lost answer shutting an idle server for as long as it is awaited.
        let waits = s.unanswered.values().filter(|t| **t >= s.passed);
        let oldest = waits.min().map_or(0, |t| self.seen().saturating_sub(*t));
        let pending = oldest.saturating_sub(if s.floor == Micros::MAX { 0 } else { s.floor }) as f64;
        let by_wait = (faded.max(pending).max(0.0) + self.weight() * s.unanswered.len() as f64 * s.work())
            / self.target();
        P_MAX * by_wait.max(s.bad * 2.0)
    }

    /// So many fronts share the servers from now on.
    pub fn shared_by(&mut self, fronts: u32) {
        self.set.fronts = fronts.max(1);
    }

    /// Wait that a sign of a pressed processor stands for, microseconds: more as bad answers recur.
    fn pressed(&self, server: ServerId) -> f64 {
        (self.servers.get(&server).map_or(0.0, |s| s.bad) * 10.0 + 2.0) * self.target()
    }

    /// Until when this front has surely seen what came: now, but what it finds after an absence may have
    /// come at its start. Guards against taking its own stall for the servers' wait. Could harm: a jam that
    /// begins with it.
    fn seen(&self) -> Micros {
        if self.now == self.absent.1 { self.absent.0 } else { self.now }
    }

    fn weight(&self) -> f64 {
        (UNANSWERED_A_FRONT * self.set.fronts as f64).max(1.0)
    }

    fn saw_wait(&mut self, server: ServerId, wait: f64) {
        if let Some(s) = self.servers.get_mut(&server) {
            (s.wait, s.wait_at, s.news_at) = (wait, self.now, self.now);
        }
    }

    /// Turns a load report into evidence; true if it held any. Absent and negative figures say nothing.
    fn read_load(&mut self, server: ServerId, load: &LoadReport) -> bool {
        let told = |x: Option<f64>| x.filter(|x| x.is_finite() && *x >= 0.0);
        let (busy, wait, waiting) = (told(load.busy), told(load.wait_ms), told(load.waiting));
        let (now, heard) = (self.now, self.arrivals / self.servers.len().max(1) as f64);
        let part = (1.0 + ALLOWED_HEARD * heard) / self.set.fronts.max(1) as f64;
        let Some(s) = self.servers.get_mut(&server) else { return false };
        if let Some(busy) = busy {
            s.busy = busy;
        }
        if let Some(free) = told(load.free_lines) {
            (s.free, s.free_at) = (free, now);
        }
        let by_waiting = waiting.map(|n| n * s.work());
        if let Some(lines) = told(load.lines) {
            s.lines = lines;
        }
        if let Some(allowed) = told(load.allowed) {
            s.allowed = part * allowed;
            s.earned = (s.earned + s.allowed * (now - s.earned_at) as f64 / 1e6)
                .min((M_SECONDS * s.allowed).max(1.0));
            (s.share, s.news_at, s.earned_at) = (s.share.min(s.earned), now, now);
        }
        if let Some(wait) = wait.map(|ms| ms * 1000.0).or(by_waiting) {
            // A report is told with every answer but drawn up now and then: the same figure again is the old
            // one, and has faded since. One that differs is new and stands for now. Guards against a jam's
            // last figure holding a server shut that has long been idle.
            if wait != s.told_wait {
                (s.wait, s.wait_at, s.told_wait) = (wait, now, wait);
            }
            s.news_at = now;
        }
        busy.is_some() || wait.is_some() || waiting.is_some() || told(load.allowed).is_some()
    }

    /// A server has answered: it is not silent.
    fn answered_by(&mut self, server: ServerId) {
        let now = self.now;
        if let Some(s) = self.servers.get_mut(&server) {
            (s.heard, s.silent, s.trial_gap) = (now, false, TRIAL_GAP);
        }
    }

    /// An attempt got its first answer; `took` where the call stands.
    fn answered(&mut self, call: CallId, server: ServerId, took: Option<Micros>) {
        self.answered_by(server);
        let late = self.now - self.seen();
        let Some(s) = self.servers.get_mut(&server) else { return };
        let sent = s.unanswered.remove(&call);
        if let Some(took) = took {
            s.passed = s.passed.max(sent.unwrap_or(0));
            s.floor = s.floor.min(took);
            s.bad *= 1.0 - BAD_WEIGHT;
            s.faults *= 1.0 - BAD_WEIGHT;
            let wait = took.saturating_sub(s.floor.max(late)) as f64;
            self.saw_wait(server, wait);
        }
    }

    // ---- Shut and gate ----

    fn run_intervals(&mut self) {
        let mut next = *self.next_interval.get_or_insert(self.now + T);
        if self.now > next + T * 2 * RATE_SPANS as u64 {
            next = self.now; // the clock has jumped: one interval stands for all that were missed
        }
        while next <= self.now {
            self.interval();
            next += T;
        }
        self.next_interval = Some(next);
    }

    fn interval(&mut self) {
        self.intervals += 1;
        let weight = (1.0 / self.intervals as f64).max(0.02);
        self.arrivals += (self.arrived as f64 * 1e6 / T as f64 - self.arrivals) * weight;
        self.arrived = 0;
        let span = self.intervals.is_multiple_of(RATE_SPAN / T);
        for id in self.servers.keys().copied().collect::<Vec<_>>() {
            let s = &self.servers[&id];
            let sample = self.occupancy(s).max(P_MAX * s.busy.min(0.95));
            let spread = 1.0 + DITHER * (2.0 * self.rng.next_u32() as f64 / u32::MAX as f64 - 1.0);
            let tick = self.intervals as usize;
            let s = self.servers.get_mut(&id).expect("listed above");
            s.bad *= BAD_FADE;
            s.faults *= BAD_FADE;
            s.samples.rotate_right(1);
            s.samples[0] = sample;
            s.step(tick, P_MAX * spread);
            if span {
                s.sent.rotate_right(1);
                s.sent[0] = 0;
            }
        }
        let now = self.now;
        self.numbers.retain(|_, n| n.out > 0 || now < n.at + REDIAL_MEMORY || now < n.busy_until);
    }

    // ---- Rule guards: apart from tuning, and last before a send ----

    /// Rules 2, 3, 4 and 5 and the limits on attempts: may this call go to this server now? Spends nothing.
    fn lawful(&self, c: &Call, s: &Server) -> bool {
        c.out.is_none()
            && self.now >= c.free_at
            && self.now + self.set.tick < c.due
            && c.sends < c.sends_most
            && (!c.ran || self.set.classes.get(c.class).is_none_or(|k| k.repeatable))
            && s.status == Status::Up
            && (!self.cold(s) || s.cold_tokens >= 1.0)
    }

    fn cold(&self, s: &Server) -> bool {
        s.started_at > 0 && self.now < s.started_at.saturating_add(self.set.rules.warm_up)
    }

    /// This front's budget for a cold server: the share of capacity that it has by now (straight from start
    /// to warm-up) times what this front usually sends to a server of that many lines, an unknown one
    /// counting as the smallest; all fronts' sum to a server's load. A token that is not used soon is gone,
    /// so that hundreds of fronts cannot save up one each and spend all at once. Could harm: a front with
    /// few calls seldom meets one.
    fn fill_cold(&mut self) {
        let rules = &self.set.rules;
        let known = |s: &&Server| s.status == Status::Up && s.lines > 0.0;
        let all: f64 = self.servers.values().filter(known).map(|s| s.lines).sum();
        let least = self.servers.values().filter(known).map(|s| s.lines).fold(f64::INFINITY, f64::min);
        let up = self.servers.values().filter(|s| s.status == Status::Up).count().max(1) as f64;
        for s in self.servers.values_mut() {
            let age = self.now.saturating_sub(s.started_at) as f64 / rules.warm_up.max(1) as f64;
            let share = rules.start_capacity + (1.0 - rules.start_capacity) * age.min(1.0);
            let size = if all > 0.0 { s.lines.max(least) / all } else { 1.0 / up };
            let rate = rules.tip_multiple * share * size.min(1.0) * self.arrivals * COLD_MARGIN;
            s.cold_tokens += rate * (self.now - s.cold_at) as f64 / 1e6;
            let kept =
                (rate * rules.fall_time as f64 / 1e6 * COLD_KEPT).max(rate * self.set.tick as f64 / 1e6);
            if s.cold_tokens > 1.0 + kept {
                s.cold_tokens -= s.cold_tokens.floor();
            }
            s.cold_at = self.now;
        }
    }

    // ---- Routing ----

    fn serves(&self, c: &Call, s: &Server) -> bool {
        let pools = self.set.classes.get(c.class).and_then(|k| k.pools.as_ref());
        (!c.in_transit || s.pool == c.first_choice) && pools.is_none_or(|p| p.contains(&s.pool))
    }

    /// May the call pass the shut and the gate?
    fn admits(&self, c: &Call, id: ServerId) -> bool {
        let Some(s) = self.servers.get(&id) else { return false };
        if !self.lawful(c, s) || !self.serves(c, s) {
            return false;
        }
        if s.silent {
            return s.unanswered.is_empty() && self.now >= s.next_trial;
        }
        if s.free < 1.0 && self.now < s.free_at + LINES_STALE {
            return false;
        }
        let p = self.occupancy(s);
        if c.lesser && (p > LATE_SHARE * s.limit || s.free < LATE_LINES * s.lines) {
            return false;
        }
        if p > s.limit {
            return false;
        }
        if s.share < 1.0 {
            return false;
        }
        match (s.u, c.held || c.tried) {
            (true, false) => true,
            (true, true) => c.tried || s.tokens >= 1.0,
            (false, true) => (c.tried && s.held_for < N_WAIT - W_M) || s.tokens >= 1.0,
            (false, false) => false,
        }
    }

    /// First choice while it is open, else the server that last took a call, else another at random by size.
    /// A server that fails many set-ups answers fast and looks idle; it and the one that last turned this
    /// call away come last. They do come: a failed set-up is cheap, the next may stand. Guards also against
    /// any server quick to err. Could harm: a call may use up its attempts on one bad server.
    fn route(&mut self, c: &Call) -> Option<ServerId> {
        self.pick(c, true).or_else(|| self.pick(c, false))
    }

    fn pick(&mut self, c: &Call, sound: bool) -> Option<ServerId> {
        let apt = |id: &ServerId| c.avoid != Some(*id) && self.servers[id].faults < FAULTS_MANY;
        let fits = |id: &ServerId| (!sound || apt(id)) && self.admits(c, *id);
        let mut first = self.servers.iter().filter(|(_, s)| s.pool == c.first_choice).map(|(id, _)| *id);
        if let Some(id) = first.find(|id| fits(id)) {
            return Some(id);
        }
        if let Some(id) = self.sticky.get(&c.first_choice).copied().filter(|id| fits(id)) {
            return Some(id);
        }
        let others: Vec<_> = self.servers.keys().copied().filter(|id| fits(id)).collect();
        let room = |id: &ServerId| self.servers[id].lines.max(1.0);
        let mut draw = others.iter().map(room).sum::<f64>() * self.rng.next_u32() as f64 / u32::MAX as f64;
        others.iter().copied().find(|id| {
            draw -= room(id);
            draw <= 0.0
        })
    }

    // ---- Call life cycle ----

    #[allow(clippy::too_many_arguments)]
    fn take_call(
        &mut self,
        call: CallId,
        class: usize,
        number: Number,
        due: Micros,
        first_choice: PoolId,
        repeat: bool,
        in_transit: bool,
        attempts: u32,
        out: &mut Vec<Action>,
    ) {
        self.arrived += 1;
        let n = self.numbers.entry(number).or_default();
        let gone = self.now.saturating_sub(n.at) as f64 / NUMBER_SPAN as f64;
        n.calls = n.calls * (1.0 - gone).max(0.0) + 1.0;
        n.at = self.now;
        let crowded = n.calls >= NUMBER_CROWD;
        let again = repeat || n.failed_at.is_some_and(|t| self.now < t + REDIAL_MEMORY);
        let rests = self.now < n.busy_until || (n.busy_until > 0 && crowded && n.out > 0);
        let k = self.set.classes.get(class);
        let aim = k.map_or(1_000_000, |k| k.aim);
        let mut value = k.map_or(1.0, |k| if again { k.worth * k.late_worth } else { k.worth });
        if crowded {
            value *= CROWD_WORTH;
        }
        let latest = (self.now + aim).min(due).saturating_sub(self.target() as u64);
        let c = Call {
            class,
            number,
            first_choice,
            in_transit,
            due,
            latest,
            value: -(value * 1000.0) as i64,
            lesser: again || crowded,
            sends: 0,
            sends_most: attempts.min(self.set.max_attempts),
            ran: false,
            tried: false,
            out: None,
            free_at: 0,
            avoid: None,
            held: false,
        };
        self.wakes.insert((due, call));
        self.wakes.insert((latest, call));
        self.waiting.insert((c.value, c.latest, call));
        self.calls.insert(call, c);
        if rests {
            self.refuse(call, out);
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn attempt_ended(
        &mut self,
        call: CallId,
        server: ServerId,
        outcome: Outcome,
        cause: Cause,
        took: Micros,
        over: bool,
        load: LoadReport,
        rest: Micros,
        again: bool,
        out: &mut Vec<Action>,
    ) {
        let pending = self.servers.get(&server).is_some_and(|s| s.unanswered.contains_key(&call));
        self.read_load(server, &load);
        match outcome {
            Outcome::Completed => self.answered(call, server, None),
            Outcome::Failed => {
                self.answered(call, server, None);
                if let (true, Some(s)) =
                    (pending && cause != Cause::NumberBusy, self.servers.get_mut(&server))
                {
                    s.faults += (1.0 - s.faults) * BAD_WEIGHT;
                }
            }
            Outcome::Full => {
                self.answered(call, server, None);
                if let Cause::ProcessorFull { wait } = cause {
                    // A stalled processor names seconds and is back in half of one: to a front that asks
                    // often the told wait counts little at first and for more as full answers recur, to one
                    // that asks seldom it stands till its next call is due. Could harm: a jam's first
                    // second.
                    let told = wait.map_or(f64::MAX, |w| w as f64);
                    let gap = 1e6 * self.servers.len() as f64 / self.arrivals.max(0.1);
                    let most = self.pressed(server).max(2.0 * gap);
                    self.saw_wait(server, told.clamp(self.target(), most));
                }
                self.blame(server, false);
                if let (Cause::NoLine, Some(s)) = (cause, self.servers.get_mut(&server)) {
                    (s.free, s.free_at) = (0.0, self.now);
                }
            }
            Outcome::TimedOut | Outcome::Unreachable | Outcome::Cancelled | Outcome::Cut if pending => {
                let sent = self.now - took.min(self.now);
                let quiet = self.servers.get(&server).is_some_and(|s| s.heard <= sent);
                self.servers.get_mut(&server).map(|s| s.unanswered.remove(&call));
                // A cut connection says nothing of the processor behind it, nor does a caller that soon
                // leaves: occupancy is the share that was full or timed out (design). Guards against a broken
                // connection with several calls on it shutting a server that is idle.
                let soon = outcome == Outcome::Cancelled && (took as f64) < self.target();
                if outcome != Outcome::Cut && !soon {
                    self.blame(server, quiet);
                }
            }
            _ => {}
        }
        let (now, target) = (self.now, self.target() as u64);
        if over {
            return self.end(call);
        }
        let Some(c) = self.calls.get_mut(&call) else { return };
        c.out = None;
        c.avoid = Some(server);
        c.tried = true;
        c.held = false;
        c.ran |= !matches!(outcome, Outcome::Full | Outcome::Unreachable | Outcome::Void);
        if matches!(outcome, Outcome::TimedOut | Outcome::Cut | Outcome::Cancelled) {
            c.free_at = now + self.set.rules.release_wait;
        }
        c.free_at = c.free_at.max(now + rest);
        if c.free_at > now {
            self.wakes.insert((c.free_at, call));
        }
        c.latest = c.latest.max(c.free_at + target).min(c.due.saturating_sub(target));
        self.wakes.insert((c.latest, call));
        self.waiting.insert((c.value, c.latest, call));
        let number = c.number;
        if let Some(n) = self.numbers.get_mut(&number) {
            n.out = n.out.saturating_sub(1);
            if cause == Cause::NumberBusy {
                n.busy_until = now + NUMBER_REST;
                return self.refuse(call, out);
            }
        }
        let c = &self.calls[&call];
        if now + self.set.tick >= c.due || c.sends >= c.sends_most || c.latest <= now || !again {
            self.refuse(call, out);
        }
    }

    /// A server did badly by an attempt; `quiet` if nothing was heard of it since that was sent.
    fn blame(&mut self, server: ServerId, quiet: bool) {
        let now = self.now;
        if let Some(s) = self.servers.get_mut(&server) {
            s.bad += (1.0 - s.bad) * BAD_WEIGHT;
            if quiet {
                s.trial_gap = if s.silent { (s.trial_gap * 2).min(TRIAL_GAP_MAX) } else { TRIAL_GAP };
                s.silent = true;
                s.next_trial = now + s.trial_gap;
            }
        }
        self.sticky.retain(|_, s| *s != server);
    }

    fn refuse(&mut self, call: CallId, out: &mut Vec<Action>) {
        let Some(c) = self.calls.get(&call) else { return };
        if let Some(n) = self.numbers.get_mut(&c.number) {
            n.failed_at = Some(self.now);
        }
        if c.ran || c.out.is_some() {
            out.push(Action::Fail { call });
        } else {
            let retry_after = if self.set.may_advise_retry { self.set.max_retry_after } else { 0 };
            out.push(Action::Refuse { call, retry_after });
        }
        self.end(call);
    }

    fn end(&mut self, call: CallId) {
        if let Some(c) = self.calls.remove(&call) {
            self.waiting.remove(&(c.value, c.latest, call));
            if let (Some(_), Some(n)) = (c.out, self.numbers.get_mut(&c.number)) {
                n.out = n.out.saturating_sub(1);
            }
        }
    }

    /// Rule 1: each call is answered by its `due`; one that can no longer stand in time is refused before.
    fn wake(&mut self, out: &mut Vec<Action>) {
        while let Some((at, call)) = self.wakes.first().copied().filter(|(at, _)| *at <= self.now) {
            self.wakes.remove(&(at, call));
            let Some(c) = self.calls.get(&call) else { continue };
            if let (Some((_, attempt)), true) = (c.out, self.now >= c.due) {
                if self.set.may_cancel {
                    out.push(Action::Cancel { call, attempt });
                }
                self.refuse(call, out);
            } else if c.out.is_none() && self.now >= c.latest {
                self.refuse(call, out);
            }
        }
    }

    /// Calls off attempts that are lost, once an interval. They say nothing of the server's load: it answers.
    fn call_off_lost(&mut self, out: &mut Vec<Action>) {
        if !self.set.may_cancel || self.looked_at == self.intervals {
            return;
        }
        self.looked_at = self.intervals;
        let least = (LOST_SHARE / WAIT_SHARE * self.target()) as u64;
        let seen = self.seen();
        for s in self.servers.values_mut() {
            let after = least.max(LOST_FLOORS.saturating_mul(s.floor)).saturating_add(s.wait as u64);
            let passed = s.passed;
            s.unanswered.retain(|call, sent| {
                let lost = *sent < passed && seen > *sent + after;
                if let (true, Some((_, attempt))) = (lost, self.calls.get(call).and_then(|c| c.out)) {
                    out.push(Action::Cancel { call: *call, attempt });
                }
                !lost
            });
        }
    }

    fn pump(&mut self, out: &mut Vec<Action>) {
        self.fill_cold();
        let mut misses = 0;
        for (_, _, id) in self.waiting.iter().copied().collect::<Vec<_>>() {
            if misses >= MISSES_MOST {
                break;
            }
            let Some(c) = self.calls.remove(&id) else { continue };
            let target = self.route(&c);
            self.calls.insert(id, c);
            match target {
                Some(server) if self.must_ask(server) => self.ask(server, out),
                Some(server) => self.send(id, server, out),
                None => {
                    misses += 1;
                    self.calls.get_mut(&id).expect("just put back").held = true;
                }
            }
        }
    }

    /// Is what this front knows of the server too old to send by?
    fn must_ask(&self, server: ServerId) -> bool {
        let old = |at: Micros, s: &Server| self.now > at + s.news_hold();
        let stale = |s: &Server| old(s.news_at, s) && (s.asked || old(s.asked_at, s));
        self.set.may_probe && self.servers.get(&server).is_some_and(stale)
    }

    fn ask(&mut self, server: ServerId, out: &mut Vec<Action>) {
        let now = self.now;
        if let Some(s) = self.servers.get_mut(&server).filter(|s| now > s.asked_at + s.news_hold()) {
            (s.asked, s.asked_at) = (true, now);
            out.push(Action::Probe { server });
        }
    }

    fn send(&mut self, call: CallId, server: ServerId, out: &mut Vec<Action>) {
        let (Some(c), Some(s)) = (self.calls.get_mut(&call), self.servers.get_mut(&server)) else { return };
        self.waiting.remove(&(c.value, c.latest, call));
        c.out = Some((server, c.sends));
        c.sends += 1;
        s.unanswered.insert(call, self.now);
        s.sent[0] += 1;
        s.free -= 1.0;
        s.tokens = (s.tokens - 1.0).max(0.0);
        s.earned = (s.earned - 1.0).max(0.0);
        s.share = (s.share - 1.0).max(0.0);
        s.cold_tokens -= 1.0;
        if s.silent {
            s.next_trial = self.now + s.trial_gap;
        }
        if let Some(n) = self.numbers.get_mut(&c.number) {
            n.out += 1;
        }
        out.push(Action::Attempt { call, server, time_out: c.due - self.now });
    }

    fn arm(&mut self, out: &mut Vec<Action>) {
        let wake = self.wakes.first().map_or(Micros::MAX, |(at, _)| *at);
        let next = wake.min(self.next_interval.unwrap_or(Micros::MAX)).max(self.now + 1);
        if next < self.armed {
            self.armed = next;
            out.push(Action::SetTimer { delay: next - self.now, key: 0 });
        }
    }

    fn take_list(&mut self, scope: ListScope, entries: Vec<ServerEntry>) {
        if scope != ListScope::Changes {
            for (id, s) in &mut self.servers {
                if !entries.iter().any(|e| e.server == *id) {
                    s.status = Status::Removed;
                }
            }
        }
        for e in entries {
            let phase = self.rng.next_u32() as f64 / u32::MAX as f64;
            let fresh = Server::new(&e, phase, self.now);
            match self.servers.get_mut(&e.server) {
                None => {
                    self.servers.insert(e.server, fresh);
                }
                Some(s) => {
                    if e.started_at > s.started_at {
                        let unanswered = std::mem::take(&mut s.unanswered);
                        *s = Server { unanswered, floor: s.floor, lines: s.lines, ..fresh };
                    }
                    (s.status, s.pool) = (e.status, e.pool);
                }
            }
        }
        let calls = &self.calls;
        self.servers.retain(|id, s| {
            s.status != Status::Removed || calls.values().any(|c| c.out.is_some_and(|(o, _)| o == *id))
        });
        let servers = &self.servers;
        self.sticky.retain(|_, id| servers.get(id).is_some_and(|s| s.status == Status::Up));
    }
}

impl Server {
    fn new(e: &ServerEntry, phase: f64, now: Micros) -> Self {
        Server {
            pool: e.pool,
            status: e.status,
            started_at: e.started_at,
            u: true,
            held_for: 0,
            samples: [0.0; W_C],
            r: f64::MAX,
            tokens: 1.0,
            limit: P_MAX,
            floor: Micros::MAX,
            wait: 0.0,
            wait_at: now,
            told_wait: 0.0,
            busy: 0.0,
            free: f64::INFINITY,
            free_at: now,
            bad: 0.0,
            faults: 0.0,
            lines: 0.0,
            unanswered: BTreeMap::new(),
            passed: 0,
            heard: now,
            news_at: 0,
            earned_at: now,
            asked: false,
            asked_at: 0,
            allowed: f64::INFINITY,
            earned: phase,
            share: f64::INFINITY,
            silent: false,
            trial_gap: TRIAL_GAP,
            next_trial: 0,
            sent: [0; RATE_SPANS],
            cold_tokens: phase,
            cold_at: now,
        }
    }

    fn news_hold(&self) -> Micros {
        if self.allowed.is_finite() { RATE_STALE } else { NEWS_STALE }
    }

    /// Work of one set-up here, microseconds: most of the least set-up delay seen.
    fn work(&self) -> f64 {
        if self.floor == Micros::MAX { 0.0 } else { WORK_SHARE * self.floor as f64 }
    }

    /// The paper's flow chart, once an interval: the shut by P_m and P_c, the gate's rate by P_t.
    fn step(&mut self, tick: usize, limit: f64) {
        let mean = |n: usize| self.samples[..n].iter().sum::<f64>() / n as f64;
        let (p_m, p_c, p_t) = (mean(W_M), mean(W_C), mean(W_T));
        let top = *self.sent.iter().max().unwrap_or(&0) as f64;
        let r_max = (top * 1e6 / RATE_SPAN as f64).max(1.0);
        let r_min = R_MIN_SHARE * r_max;
        self.limit = limit;
        self.held_for += 1;
        if self.u && p_m > limit {
            (self.u, self.held_for) = (false, 0);
        } else if !self.u && p_c < limit {
            (self.u, self.held_for) = (true, 0);
        }
        if tick.is_multiple_of(W_T) {
            if !self.u && self.held_for >= N_WAIT - W_M {
                let tightened = if p_t > 0.0 { self.r * P_TERM_MAX / p_t } else { r_max };
                self.r = tightened.max(r_min);
            } else if self.u && self.held_for >= W_T && p_t < P_MAX {
                self.r = (self.r.min(r_max) + r_max) / 2.0;
            }
        }
        self.r = self.r.clamp(r_min, r_max);
        self.share = (self.share + self.allowed * T as f64 / 1e6).min((M_SECONDS * self.allowed).max(1.0));
        self.allowed *= ALLOWED_FADE;
        self.tokens = (self.tokens + self.r * T as f64 / 1e6).min((M_SECONDS * r_max).max(1.0));
    }
}
