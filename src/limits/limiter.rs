//! Applies a plan: admits or rejects calls, decides when a call may be retried, and keeps the counts for both.
//!
//! Each level (a route, a class, or the default) with a cap has its counters here, keyed by the level's name, so that
//! the counts outlive a reload. A call counts against the levels that admitted it until its `Admission` is dropped.
//! The caller passes the time. A `now` before an earlier one counts as the earlier one; a jump forward fills buckets
//! to their burst and empties windows, and does nothing else.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use super::file::{LimitSettings, Rate, RetryBudget};
use super::plan::{Limits, Origin, Plan, Sourced};
use crate::{Micros, Outcome, Settings};

/// Number of slots of a sliding window: the window moves by one slot at a time.
const WINDOW_SLOTS: usize = 10;
/// Retry-after when `open_calls` is reached: when an open call will end cannot be predicted.
const OPEN_CALLS_RETRY_AFTER: Micros = 1_000_000;
/// The longest retry-after if the file sets no bound.
const MAX_RETRY_AFTER: Micros = 30_000_000;
/// Fraction of each cap that this process may use while another process of the same gatekeeper takes calls too, so that
/// both together stay within the cap.
const SHARED_FRACTION: f64 = 0.5;

/// A token bucket. When it is empty, it reserves future tokens for rejected callers, one token per caller.
#[derive(Debug)]
struct Bucket {
    rate: Rate,
    tokens: f64,
    filled_at: Micros,
    /// The refill up to this time is reserved for callers that were rejected.
    reserved_until: Micros,
}

impl Bucket {
    fn new(rate: Rate, now: Micros) -> Bucket {
        Bucket { rate, tokens: f64::from(rate.max_burst()), filled_at: now, reserved_until: now }
    }

    /// Adds the tokens due by `now`; this process may use `fraction` of the rate and of the burst.
    fn refill(&mut self, now: Micros, fraction: f64) {
        let new_tokens = now.saturating_sub(self.filled_at) as f64 * self.rate.per_second / 1e6;
        let max_tokens = (f64::from(self.rate.max_burst()) * fraction).max(1.0);
        self.tokens = (self.tokens + new_tokens * fraction).min(max_tokens);
        self.filled_at = self.filled_at.max(now);
    }

    /// Retry-after for a caller rejected now: the time until the refill has a token that is not reserved for
    /// another caller.
    fn reserve(&mut self, now: Micros, max_wait: Micros) -> Micros {
        let token_interval = 1e6 / self.rate.per_second;
        let next_token = now.saturating_add(((1.0 - self.tokens).max(0.0) * token_interval) as Micros);
        let unreserved = self.reserved_until.saturating_add(token_interval as Micros).max(next_token);
        let wait = unreserved.saturating_sub(now).min(max_wait);
        self.reserved_until = now.saturating_add(wait);
        wait.max(1)
    }
}

/// Counts of first attempts and retries within one slot of a window.
#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    new_calls: u32,
    retries: u32,
}

/// New calls and retries within a sliding window.
#[derive(Debug)]
struct Budget {
    settings: RetryBudget,
    slots: [Slot; WINDOW_SLOTS],
    /// Number of the newest slot, counted from time 0.
    newest: u64,
    /// Retries that were allowed and have not been sent yet.
    reserved: u32,
}

impl Budget {
    fn new(settings: RetryBudget) -> Budget {
        Budget { settings, slots: [Slot::default(); WINDOW_SLOTS], newest: 0, reserved: 0 }
    }

    /// Clears the slots that have left the window. Returns the newest slot.
    fn advance(&mut self, now: Micros) -> &mut Slot {
        let current = now / (self.settings.window.0 / WINDOW_SLOTS as u64).max(1);
        for n in 0..current.saturating_sub(self.newest).min(WINDOW_SLOTS as u64) {
            self.slots[((current - n) % WINDOW_SLOTS as u64) as usize] = Slot::default();
        }
        self.newest = self.newest.max(current);
        &mut self.slots[(self.newest % WINDOW_SLOTS as u64) as usize]
    }

    fn allows_retry(&mut self, now: Micros) -> bool {
        self.advance(now);
        let sum = |count: fn(&Slot) -> u32| self.slots.iter().map(count).map(f64::from).sum::<f64>();
        let max_retries = f64::from(self.settings.least) + self.settings.share.0 * sum(|slot| slot.new_calls);
        sum(|slot| slot.retries) + f64::from(self.reserved) + 1.0 <= max_retries
    }
}

/// The counters of one level.
#[derive(Debug)]
struct Level {
    name: String,
    max_open_calls: Option<u32>,
    open_calls: u32,
    bucket: Option<Bucket>,
    budget: Option<Budget>,
}

impl Level {
    fn new(name: String, settings: &LimitSettings, now: Micros) -> Level {
        let mut level = Level { name, max_open_calls: None, open_calls: 0, bucket: None, budget: None };
        level.set(settings, now);
        level
    }

    /// Applies new settings and keeps the counts. The tokens of a bucket are cut to the new burst.
    fn set(&mut self, settings: &LimitSettings, now: Micros) {
        self.max_open_calls = settings.open_calls;
        self.bucket = settings.rate.map(|rate| match self.bucket.take() {
            Some(mut bucket) => {
                bucket.refill(now, 1.0);
                bucket.tokens = bucket.tokens.min(f64::from(rate.max_burst()));
                Bucket { rate, ..bucket }
            }
            None => Bucket::new(rate, now),
        });
        self.budget = settings.retry_budget.map(|settings| match self.budget.take() {
            // Slots of different lengths cannot be added up.
            Some(budget) if budget.settings.window == settings.window => Budget { settings, ..budget },
            Some(budget) => Budget { reserved: budget.reserved, ..Budget::new(settings) },
            None => Budget::new(settings),
        });
    }
}

type SharedLevel = Rc<RefCell<Level>>;
type CachedLimits = (Rc<Limits>, Rc<[SharedLevel]>);

/// An admitted call: it counts against its levels until this is dropped.
#[derive(Debug)]
pub struct Admission {
    /// The limits of the call; a reload does not change them.
    pub limits: Rc<Limits>,
    /// How long one attempt of the call may take.
    pub attempt_timeout: Option<Micros>,
    levels: Rc<[SharedLevel]>,
    /// A retry was allowed and has not been sent yet.
    has_reserved_retry: Cell<bool>,
}

impl Admission {
    fn release_reserved_retry(&self) {
        if self.has_reserved_retry.replace(false) {
            for level in self.levels.iter() {
                if let Some(budget) = &mut level.borrow_mut().budget {
                    budget.reserved = budget.reserved.saturating_sub(1);
                }
            }
        }
    }

    /// Counts an attempt that is sent; `number` counts the call's attempts from 0.
    pub fn attempt_sent(&self, now: Micros, number: u32) {
        self.release_reserved_retry();
        for level in self.levels.iter().filter(|_| number > 0) {
            if let Some(budget) = &mut level.borrow_mut().budget {
                budget.advance(now).retries += 1;
            }
        }
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.release_reserved_retry();
        for level in self.levels.iter() {
            let mut level = level.borrow_mut();
            level.open_calls = level.open_calls.saturating_sub(1);
        }
    }
}

/// Why a call is rejected at a limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// After this time the caller may call again.
    pub retry_after: Micros,
    /// The level whose cap is reached.
    pub level: String,
    /// The cap: `open_calls` or `rate`.
    pub cap: &'static str,
}

/// Whether and when a call is retried after an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryDecision {
    /// The call waits this long before its next attempt.
    pub retry_delay: Micros,
    /// Another attempt is allowed.
    pub may_retry: bool,
}

/// The properties of a call that decide which limits apply to it.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Index of the class in the settings.
    pub class: usize,
    /// Pool of first choice.
    pub pool: i64,
    /// The number called.
    pub number: &'a str,
    /// How long the caller will still wait.
    pub time_left: Micros,
}

/// Applies a plan to calls.
pub struct Limiter {
    plan: Rc<Plan>,
    class_names: Vec<String>,
    levels: HashMap<String, SharedLevel>,
    /// Limits and levels for each route and class that has had a call, so that admitting a call costs one look-up.
    cache: HashMap<(u32, usize), CachedLimits>,
    no_levels: Rc<[SharedLevel]>,
    /// Limits of every call if there is no operators' file.
    without_file: Option<Rc<Limits>>,
    rng: Pcg32,
    /// Another process of the same gatekeeper takes calls too.
    is_shared: bool,
    now: Micros,
}

impl Limiter {
    /// Applies a plan for classes with these names.
    pub fn new(plan: Rc<Plan>, class_names: Vec<String>, seed: u64) -> Limiter {
        Limiter {
            plan,
            class_names,
            levels: HashMap::new(),
            cache: HashMap::new(),
            no_levels: Rc::new([]),
            without_file: None,
            rng: Pcg32::seed_from_u64(seed),
            is_shared: false,
            now: 0,
        }
    }

    /// Applies the operators' plan, or the platform's settings alone if there is no plan.
    pub fn from_plan_or_settings(
        plan: Option<Rc<Plan>>,
        settings: &Settings,
        class_names: &[String],
        seed: u64,
    ) -> Limiter {
        match plan {
            Some(plan) => Limiter::new(plan, class_names.to_vec(), seed),
            None => Limiter { class_names: class_names.to_vec(), ..Limiter::from_settings(settings) },
        }
    }

    /// Applies the platform's settings without an operators' file: no level has a cap, so nothing is counted.
    pub fn from_settings(settings: &Settings) -> Limiter {
        let sourced = |value| Sourced { value, from: Origin::Platform };
        let attempts = if settings.max_attempts == 0 { u32::MAX } else { settings.max_attempts };
        let plan = Plan::new(super::file::Section::default(), &super::Ceilings::default());
        let pause = settings.rules.release_wait;
        let limits = Limits {
            attempts: Sourced { value: attempts, from: Origin::Platform },
            timed_out: sourced(pause),
            reset: sourced(pause),
            cancelled: sourced(pause),
            ..plan.compile(None, None)
        };
        Limiter { without_file: Some(Rc::new(limits)), ..Limiter::new(Rc::new(plan), Vec::new(), 0) }
    }

    /// Replaces the plan. Admitted calls keep the limits that they were admitted with. Counts carry over to levels of the
    /// same name; where a new cap is below the count, no call is admitted until the count is below the cap.
    pub fn replace_plan(&mut self, now: Micros, plan: Rc<Plan>) {
        self.now = self.now.max(now);
        let mut settings_by_level: HashMap<String, &LimitSettings> = HashMap::new();
        for (n, route) in plan.section.routes.iter().enumerate() {
            settings_by_level.insert(level_name(&plan, &Origin::Route(n)), &route.limits);
        }
        for (class, class_settings) in &plan.section.classes {
            settings_by_level.insert(level_name(&plan, &Origin::Class(class.clone())), class_settings);
        }
        settings_by_level.insert(level_name(&plan, &Origin::Default), &plan.section.default);
        let now = self.now;
        self.levels.retain(|name, level| match settings_by_level.get(name) {
            Some(settings) => {
                level.borrow_mut().set(settings, now);
                true
            }
            None => false,
        });
        drop(settings_by_level);
        self.cache.clear();
        self.plan = plan;
        self.without_file = None;
    }

    /// Sets whether another process of the same gatekeeper takes calls too.
    pub fn set_shared(&mut self, now: Micros, is_shared: bool) {
        self.now = self.now.max(now);
        self.is_shared = is_shared;
    }

    /// Admits a call, or rejects it if a cap of one of its levels is reached.
    pub fn admit(&mut self, now: Micros, request: AdmissionRequest) -> Result<Admission, Refusal> {
        self.now = self.now.max(now);
        let now = self.now;
        if let Some(limits) = &self.without_file {
            let (limits, levels) = (limits.clone(), self.no_levels.clone());
            return Ok(Admission {
                limits,
                attempt_timeout: None,
                levels,
                has_reserved_retry: Cell::new(false),
            });
        }
        let class = self.class_names.get(request.class).map_or("", String::as_str);
        let route = self.plan.route(class, request.pool, request.number);
        let key = (route.map_or(u32::MAX, |n| n as u32), request.class);
        let (limits, levels) = match self.cache.get(&key) {
            Some(cached) => cached.clone(),
            None => self.compile_limits(route, request.class, now),
        };
        let (least, most) =
            limits.retry_after.value.map_or((1, MAX_RETRY_AFTER), |bounds| (bounds.least.0, bounds.most.0));
        let fraction = if self.is_shared { SHARED_FRACTION } else { 1.0 };
        // All caps are checked before any is charged: a call that one cap rejects uses up none of the others.
        for level in levels.iter() {
            let level = &mut *level.borrow_mut();
            let refuse = |wait: Micros, cap| Refusal {
                retry_after: wait.clamp(least, most.max(least)),
                level: level.name.clone(),
                cap,
            };
            if level
                .max_open_calls
                .is_some_and(|max| f64::from(level.open_calls) >= (f64::from(max) * fraction).max(1.0))
            {
                return Err(refuse(OPEN_CALLS_RETRY_AFTER, "open_calls"));
            }
            if let Some(bucket) = &mut level.bucket {
                bucket.refill(now, fraction);
                if bucket.tokens < 1.0 {
                    let wait = bucket.reserve(now, most);
                    return Err(refuse(wait, "rate"));
                }
            }
        }
        for level in levels.iter() {
            let level = &mut *level.borrow_mut();
            level.open_calls += 1;
            if let Some(bucket) = &mut level.bucket {
                bucket.tokens -= 1.0;
            }
            if let Some(budget) = &mut level.budget {
                budget.advance(now).new_calls += 1;
            }
        }
        let attempt_timeout = limits.time_out.value.map(|t| t.resolve(request.time_left).max(1));
        Ok(Admission { limits, attempt_timeout, levels, has_reserved_retry: Cell::new(false) })
    }

    /// Compiles and caches the limits of a route and class, and finds or creates their levels.
    fn compile_limits(&mut self, route: Option<usize>, class: usize, now: Micros) -> CachedLimits {
        let class_name = self.class_names.get(class).map_or("", String::as_str);
        let mut levels: Vec<SharedLevel> = Vec::new();
        for (origin, settings) in self.plan.levels(route, Some(class_name)) {
            if settings.open_calls.is_none() && settings.rate.is_none() && settings.retry_budget.is_none() {
                continue;
            }
            let name = level_name(&self.plan, &origin);
            let is_shared = self.is_shared;
            let new = || {
                let mut new = Level::new(name.clone(), settings, now);
                // The initial burst belongs to the other process.
                if let (true, Some(bucket)) = (is_shared, &mut new.bucket) {
                    bucket.tokens = 0.0;
                }
                Rc::new(RefCell::new(new))
            };
            levels.push(self.levels.entry(name.clone()).or_insert_with(new).clone());
        }
        let cached: CachedLimits = (self.plan.limits(route, class_name), levels.into());
        self.cache.insert((route.map_or(u32::MAX, |n| n as u32), class), cached.clone());
        cached
    }

    /// Decides whether and when a call is retried after an attempt has ended; `attempts` counts the attempts of the
    /// call so far, the ended one included.
    pub fn decide_retry(
        &mut self,
        now: Micros,
        admission: &Admission,
        outcome: Outcome,
        attempts: u32,
    ) -> RetryDecision {
        self.now = self.now.max(now);
        let now = self.now;
        admission.release_reserved_retry();
        if outcome == Outcome::NotSent {
            // The attempt never reached a server, so the next one repeats nothing.
            return RetryDecision { retry_delay: 0, may_retry: true };
        }
        let limits = &admission.limits;
        let mut retry_delay = limits.pause(outcome);
        if outcome != Outcome::Unreachable {
            let max_back_off = limits.max_back_off(attempts) as f64;
            let random_share = f64::from(self.rng.next_u32()) / f64::from(u32::MAX) * limits.jitter();
            retry_delay = retry_delay.saturating_add((max_back_off * (1.0 - random_share)) as Micros);
        }
        if attempts >= limits.attempts.value {
            return RetryDecision { retry_delay, may_retry: false };
        }
        let allows_retry = |level: &SharedLevel| {
            level.borrow_mut().budget.as_mut().is_none_or(|budget| budget.allows_retry(now))
        };
        let may_retry = admission.levels.iter().all(allows_retry);
        if may_retry {
            for level in admission.levels.iter() {
                if let Some(budget) = &mut level.borrow_mut().budget {
                    budget.reserved += 1;
                }
            }
            admission.has_reserved_retry.set(true);
        }
        RetryDecision { retry_delay, may_retry }
    }

    /// Number of open and established calls of a level, by the level's name: for tests and reports.
    pub fn open_calls(&self, level: &str) -> u32 {
        self.levels.get(level).map_or(0, |l| l.borrow().open_calls)
    }
}

/// The name of a level: its counts are kept under it across a reload.
fn level_name(plan: &Plan, origin: &Origin) -> String {
    match origin {
        Origin::Route(n) => format!("route {}", plan.section.routes[*n].name),
        Origin::Class(name) => format!("class {name}"),
        Origin::Default | Origin::Platform | Origin::Program => "default".to_string(),
    }
}

#[cfg(test)]
mod tests;
