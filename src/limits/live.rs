//! Limits at work: who is taken in, when a call may be tried again, and what is counted for it.
//!
//! A level (a route, a class, or the default) that has a cap keeps its count here, by its name, so that counts outlive a
//! reload. A call holds the levels it was taken in by and lets go of them when it is dropped. Time is handed in; a
//! smaller `now` than before counts as that, and after a leap forward buckets are full and windows empty, no more.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use super::file::{Rate, RetryBudget, Terms};
use super::plan::{Limits, Origin, Plan, Sourced};
use crate::{Micros, Outcome, Settings};

/// Parts of a sliding window: it slides by one of them.
const PARTS: usize = 10;
/// Advice where open calls are at their most: nobody can tell when one ends.
const OPEN_WAIT: Micros = 1_000_000;
/// The longest advice where the file bounds none.
const MAX_WAIT: Micros = 30_000_000;
/// The part of each cap that is this process's while another of the same gatekeeper takes calls too: the two keep the
/// caps together.
const SHARED_PART: f64 = 0.5;

/// A token bucket. What it cannot give now it promises for later, one caller after the other.
#[derive(Debug)]
struct Bucket {
    rate: Rate,
    tokens: f64,
    at: Micros,
    /// Until when its refill has been promised to callers that were turned away.
    promised: Micros,
}

impl Bucket {
    fn new(rate: Rate, now: Micros) -> Bucket {
        Bucket { rate, tokens: f64::from(rate.max_burst()), at: now, promised: now }
    }

    /// Earns what is due; `part` of the rate and of the burst is this process's.
    fn fill(&mut self, now: Micros, part: f64) {
        let grown = now.saturating_sub(self.at) as f64 * self.rate.per_second / 1e6;
        let most = (f64::from(self.rate.max_burst()) * part).max(1.0);
        self.tokens = (self.tokens + grown * part).min(most);
        self.at = self.at.max(now);
    }

    /// When the caller that is turned away now may come back: once the refill has a token that nobody else was
    /// told of.
    fn wait(&mut self, now: Micros, most: Micros) -> Micros {
        let token = 1e6 / self.rate.per_second;
        let first = now.saturating_add(((1.0 - self.tokens).max(0.0) * token) as Micros);
        let next = self.promised.saturating_add(token as Micros).max(first);
        let wait = next.saturating_sub(now).min(most);
        self.promised = now.saturating_add(wait);
        wait.max(1)
    }
}

/// Fresh calls and repeats within a sliding window.
#[derive(Debug)]
struct Budget {
    terms: RetryBudget,
    /// By part of the window: fresh calls and repeats.
    parts: [(u32, u32); PARTS],
    /// The number of the newest part since time began.
    newest: u64,
    /// Repeats that were allowed and are not out yet.
    reserved: u32,
}

impl Budget {
    fn new(terms: RetryBudget) -> Budget {
        Budget { terms, parts: [(0, 0); PARTS], newest: 0, reserved: 0 }
    }

    fn slide(&mut self, now: Micros) -> &mut (u32, u32) {
        let part = now / (self.terms.window.0 / PARTS as u64).max(1);
        for n in 0..part.saturating_sub(self.newest).min(PARTS as u64) {
            self.parts[((part - n) % PARTS as u64) as usize] = (0, 0);
        }
        self.newest = self.newest.max(part);
        &mut self.parts[(self.newest % PARTS as u64) as usize]
    }

    fn allows(&mut self, now: Micros) -> bool {
        self.slide(now);
        let sum = |f: fn(&(u32, u32)) -> u32| self.parts.iter().map(f).map(f64::from).sum::<f64>();
        let most = f64::from(self.terms.least) + self.terms.share.0 * sum(|p| p.0);
        sum(|p| p.1) + f64::from(self.reserved) + 1.0 <= most
    }
}

/// The counts of one level.
#[derive(Debug)]
struct Level {
    name: String,
    max_open_calls: Option<u32>,
    open: u32,
    bucket: Option<Bucket>,
    budget: Option<Budget>,
}

impl Level {
    fn new(name: String, terms: &Terms, now: Micros) -> Level {
        let mut level = Level { name, max_open_calls: None, open: 0, bucket: None, budget: None };
        level.set(terms, now);
        level
    }

    /// Takes new terms; what was counted goes on. A bucket has no more than the new burst.
    fn set(&mut self, terms: &Terms, now: Micros) {
        self.max_open_calls = terms.open_calls;
        self.bucket = terms.rate.map(|rate| match self.bucket.take() {
            Some(mut bucket) => {
                bucket.fill(now, 1.0);
                bucket.tokens = bucket.tokens.min(f64::from(rate.max_burst()));
                Bucket { rate, ..bucket }
            }
            None => Bucket::new(rate, now),
        });
        self.budget = terms.retry_budget.map(|terms| match self.budget.take() {
            // Parts of another length cannot be counted together.
            Some(budget) if budget.terms.window == terms.window => Budget { terms, ..budget },
            Some(budget) => Budget { reserved: budget.reserved, ..Budget::new(terms) },
            None => Budget::new(terms),
        });
    }
}

type Shared = Rc<RefCell<Level>>;
type Ready = (Rc<Limits>, Rc<[Shared]>);

/// What a call holds for as long as it is open or stands.
#[derive(Debug)]
pub struct Held {
    /// What holds for it, whatever is reloaded meanwhile.
    pub limits: Rc<Limits>,
    /// How long a try of it may take.
    pub try_for: Option<Micros>,
    levels: Rc<[Shared]>,
    /// A repeat was allowed and is not out yet.
    reserved: Cell<bool>,
}

impl Held {
    fn unreserve(&self) {
        if self.reserved.replace(false) {
            for level in self.levels.iter() {
                if let Some(budget) = &mut level.borrow_mut().budget {
                    budget.reserved = budget.reserved.saturating_sub(1);
                }
            }
        }
    }

    /// An attempt of this number, from 0, goes out.
    pub fn sent(&self, now: Micros, number: u32) {
        self.unreserve();
        for level in self.levels.iter().filter(|_| number > 0) {
            if let Some(budget) = &mut level.borrow_mut().budget {
                budget.slide(now).1 += 1;
            }
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.unreserve();
        for level in self.levels.iter() {
            let mut level = level.borrow_mut();
            level.open = level.open.saturating_sub(1);
        }
    }
}

/// A call that is turned away at a limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// When it may come back.
    pub wait: Micros,
    /// The level that has no room.
    pub level: String,
    /// What of it: `open_calls` or `rate`.
    pub cap: &'static str,
}

/// What becomes of a call after an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// It rests for so long.
    pub rest: Micros,
    /// It may be tried again then.
    pub again: bool,
}

/// Which calls these are.
#[derive(Clone, Copy, Debug)]
pub struct Asked<'a> {
    /// Place of the class in the settings.
    pub class: usize,
    /// Pool of first choice.
    pub pool: i64,
    /// The number called.
    pub number: &'a str,
    /// How long the caller waits.
    pub left: Micros,
}

/// The plan at work.
pub struct Live {
    plan: Rc<Plan>,
    names: Vec<String>,
    levels: HashMap<String, Shared>,
    /// What holds for each route and class that calls had so far, and its levels: a call costs one look-up.
    ready: HashMap<(u32, usize), Ready>,
    no_levels: Rc<[Shared]>,
    /// What holds where the file says nothing, and there is no file to say something.
    bare: Option<Rc<Limits>>,
    rng: Pcg32,
    /// Another process of the same gatekeeper takes calls too.
    shared: bool,
    now: Micros,
}

impl Live {
    /// A plan at work for classes of these names.
    pub fn new(plan: Rc<Plan>, names: Vec<String>, seed: u64) -> Live {
        Live {
            plan,
            names,
            levels: HashMap::new(),
            ready: HashMap::new(),
            no_levels: Rc::new([]),
            bare: None,
            rng: Pcg32::seed_from_u64(seed),
            shared: false,
            now: 0,
        }
    }

    /// A front's limits: by the operators' plan, or where there is none by its settings alone.
    pub fn of(plan: Option<Rc<Plan>>, set: &Settings, names: &[String], seed: u64) -> Live {
        match plan {
            Some(plan) => Live::new(plan, names.to_vec(), seed),
            None => Live { names: names.to_vec(), ..Live::bare(set) },
        }
    }

    /// No file: what the settings say, and nothing is counted.
    pub fn bare(set: &Settings) -> Live {
        let sourced = |value| Sourced { value, from: Origin::Platform };
        let attempts = if set.max_attempts == 0 { u32::MAX } else { set.max_attempts };
        let plan = Plan::new(super::file::Section::default(), &super::Ceilings::default());
        let wait = set.rules.release_wait;
        let limits = Limits {
            attempts: Sourced { value: attempts, from: Origin::Platform },
            timed_out: sourced(wait),
            reset: sourced(wait),
            cancelled: sourced(wait),
            ..plan.compile(None, None)
        };
        Live { bare: Some(Rc::new(limits)), ..Live::new(Rc::new(plan), Vec::new(), 0) }
    }

    /// Another plan from now on. Calls that are held keep what they were taken in with; counts go on by the names of
    /// their levels, and what is lowered under its count takes nothing new until that is less.
    pub fn replace(&mut self, now: Micros, plan: Rc<Plan>) {
        self.now = self.now.max(now);
        let mut terms: HashMap<String, &Terms> = HashMap::new();
        for (n, route) in plan.section.routes.iter().enumerate() {
            terms.insert(name_of(&plan, &Origin::Route(n)), &route.limits);
        }
        for (class, of_class) in &plan.section.classes {
            terms.insert(name_of(&plan, &Origin::Class(class.clone())), of_class);
        }
        terms.insert(name_of(&plan, &Origin::Default), &plan.section.default);
        let now = self.now;
        self.levels.retain(|name, level| match terms.get(name) {
            Some(terms) => {
                level.borrow_mut().set(terms, now);
                true
            }
            None => false,
        });
        drop(terms);
        self.ready.clear();
        self.plan = plan;
        self.bare = None;
    }

    /// Another process of the same gatekeeper takes calls too from now on, or does no longer.
    pub fn share(&mut self, now: Micros, shared: bool) {
        self.now = self.now.max(now);
        self.shared = shared;
    }

    /// Takes a call in, or turns it away at once.
    pub fn take(&mut self, now: Micros, asked: Asked) -> Result<Held, Refusal> {
        self.now = self.now.max(now);
        let now = self.now;
        if let Some(limits) = &self.bare {
            let (limits, levels) = (limits.clone(), self.no_levels.clone());
            return Ok(Held { limits, try_for: None, levels, reserved: Cell::new(false) });
        }
        let class = self.names.get(asked.class).map_or("", String::as_str);
        let route = self.plan.route(class, asked.pool, asked.number);
        let key = (route.map_or(u32::MAX, |n| n as u32), asked.class);
        let (limits, levels) = match self.ready.get(&key) {
            Some(ready) => ready.clone(),
            None => self.make_ready(route, asked.class, now),
        };
        let (least, most) = limits.retry_after.value.map_or((1, MAX_WAIT), |c| (c.least.0, c.most.0));
        let part = if self.shared { SHARED_PART } else { 1.0 };
        // All caps first: a call that one of them turns away takes nothing of the others.
        for level in levels.iter() {
            let level = &mut *level.borrow_mut();
            let refused = |wait: Micros, cap| Refusal {
                wait: wait.clamp(least, most.max(least)),
                level: level.name.clone(),
                cap,
            };
            if level
                .max_open_calls
                .is_some_and(|most| f64::from(level.open) >= (f64::from(most) * part).max(1.0))
            {
                return Err(refused(OPEN_WAIT, "open_calls"));
            }
            if let Some(bucket) = &mut level.bucket {
                bucket.fill(now, part);
                if bucket.tokens < 1.0 {
                    let wait = bucket.wait(now, most);
                    return Err(refused(wait, "rate"));
                }
            }
        }
        for level in levels.iter() {
            let level = &mut *level.borrow_mut();
            level.open += 1;
            if let Some(bucket) = &mut level.bucket {
                bucket.tokens -= 1.0;
            }
            if let Some(budget) = &mut level.budget {
                budget.slide(now).0 += 1;
            }
        }
        let try_for = limits.time_out.value.map(|t| t.of(asked.left).max(1));
        Ok(Held { limits, try_for, levels, reserved: Cell::new(false) })
    }

    /// Compiles what holds for a route and class, and finds or makes its levels.
    fn make_ready(&mut self, route: Option<usize>, class: usize, now: Micros) -> Ready {
        let name = self.names.get(class).map_or("", String::as_str);
        let mut levels: Vec<Shared> = Vec::new();
        for (origin, terms) in self.plan.levels(route, Some(name)) {
            if terms.open_calls.is_none() && terms.rate.is_none() && terms.retry_budget.is_none() {
                continue;
            }
            let level = name_of(&self.plan, &origin);
            let shared = self.shared;
            let new = || {
                let mut new = Level::new(level.clone(), terms, now);
                // What there was to spend at once is the other process's.
                if let (true, Some(bucket)) = (shared, &mut new.bucket) {
                    bucket.tokens = 0.0;
                }
                Rc::new(RefCell::new(new))
            };
            levels.push(self.levels.entry(level.clone()).or_insert_with(new).clone());
        }
        let ready: Ready = (self.plan.limits(route, name), levels.into());
        self.ready.insert((route.map_or(u32::MAX, |n| n as u32), class), ready.clone());
        ready
    }

    /// An attempt of a call has ended, the last of so many: how long the call rests, and whether it may be tried again.
    pub fn after(&mut self, now: Micros, held: &Held, outcome: Outcome, tries: u32) -> Verdict {
        self.now = self.now.max(now);
        let now = self.now;
        held.unreserve();
        if outcome == Outcome::NotSent {
            return Verdict { rest: 0, again: true }; // it never left: nothing was repeated
        }
        let mut rest = held.limits.pause(outcome);
        if outcome != Outcome::Unreachable {
            let most = held.limits.max_back_off(tries) as f64;
            let drawn = f64::from(self.rng.next_u32()) / f64::from(u32::MAX) * held.limits.jitter();
            rest = rest.saturating_add((most * (1.0 - drawn)) as Micros);
        }
        if tries >= held.limits.attempts.value {
            return Verdict { rest, again: false };
        }
        let allows = |level: &Shared| level.borrow_mut().budget.as_mut().is_none_or(|b| b.allows(now));
        let again = held.levels.iter().all(allows);
        if again {
            for level in held.levels.iter() {
                if let Some(budget) = &mut level.borrow_mut().budget {
                    budget.reserved += 1;
                }
            }
            held.reserved.set(true);
        }
        Verdict { rest, again }
    }

    /// Open and standing calls of a level, by its name: for tests and reports.
    pub fn open(&self, level: &str) -> u32 {
        self.levels.get(level).map_or(0, |l| l.borrow().open)
    }
}

/// A level's name: counts go by it over a reload.
fn name_of(plan: &Plan, origin: &Origin) -> String {
    match origin {
        Origin::Route(n) => format!("route {}", plan.section.routes[*n].name),
        Origin::Class(name) => format!("class {name}"),
        Origin::Default | Origin::Platform | Origin::Program => "default".to_string(),
    }
}

#[cfg(test)]
mod tests;
