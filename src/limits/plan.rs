//! The plan: the section compiled, so that a call finds its route and its limits at once, and each value's origin can
//! be told.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

use super::file::{BackOff, Match, RetryAfterBounds, Section, Terms};
use super::trie::Trie;
use super::units::{Span, TimeOut};
use crate::ops::Path;
use crate::{Micros, Outcome, Settings};

/// Most tries for one call, whatever else is said.
pub const MAX_ATTEMPTS: u32 = 4;
/// The least pause after a try that timed out, was reset or was called off, where the installation names none.
pub const MIN_PAUSE: Micros = 500_000;

/// A class as the settings have it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassInfo {
    /// Its name.
    pub name: String,
    /// The longest time that its callers wait.
    pub patience: Micros,
    /// A set-up may be repeated though an earlier one may have run.
    pub repeatable: bool,
    /// The pools that may take it; `None`: any.
    pub pools: Option<Vec<i64>>,
}

/// What the installation permits. What is not known is not checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ceilings {
    /// Most tries; 0: not said.
    pub attempts: u32,
    /// The wait after a try that timed out, was reset or was called off.
    pub release_wait: Micros,
    /// A call may have two tries out at once; `None`: not known.
    pub second_copies: Option<bool>,
    /// The longest advice that callers heed; 0: not known.
    pub max_retry_after: Micros,
    /// The classes; `None`: not known.
    pub classes: Option<Vec<ClassInfo>>,
    /// Numbers are 16 hex digits, and nothing else.
    pub hex_numbers: bool,
}

impl Ceilings {
    /// The ceilings of an installation with these settings and classes.
    pub fn of(set: &Settings, names: &[String], patience: &[Micros], hex_numbers: bool) -> Ceilings {
        let info = |((class, name), patience): ((&crate::Class, &String), &Micros)| ClassInfo {
            name: name.clone(),
            patience: *patience,
            repeatable: class.is_idempotent,
            pools: class.pools.as_ref().map(|p| p.iter().map(|p| p.0).collect()),
        };
        Ceilings {
            attempts: set.max_attempts,
            release_wait: set.rules.release_wait,
            second_copies: Some(set.may_hedge),
            max_retry_after: if set.may_send_retry_after { set.max_retry_after } else { 0 },
            classes: Some(set.classes.iter().zip(names).zip(patience).map(info).collect()),
            hex_numbers,
        }
    }

    /// Most tries by the installation's word.
    pub fn max_attempts(&self) -> u32 {
        if self.attempts == 0 { MAX_ATTEMPTS } else { self.attempts.min(MAX_ATTEMPTS) }
    }

    /// The least pause after a try that may have run.
    pub fn min_pause(&self) -> Micros {
        if self.release_wait > 0 { self.release_wait } else { MIN_PAUSE }
    }
}

/// Where a value comes from.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Origin {
    /// The program's own default.
    Program,
    /// The installation's settings.
    Platform,
    /// The section's default.
    Default,
    /// This class.
    Class(String),
    /// The route at this place of the list.
    Route(usize),
}

impl Origin {
    /// The path of one of its settings; `None` where it is not in the file.
    pub fn path(&self, setting: &str) -> Option<Path> {
        let limits = Path::of("limits");
        let base = match self {
            Origin::Program | Origin::Platform => return None,
            Origin::Default => limits.key("default"),
            Origin::Class(name) => limits.key("classes").key(name),
            Origin::Route(n) => limits.key("routes").index(*n).key("limits"),
        };
        Some(setting.split('.').fold(base, |path, key| path.key(key)))
    }
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Origin::Program => f.write_str("the program's default"),
            Origin::Platform => f.write_str("the platform's settings"),
            Origin::Default => f.write_str("limits.default"),
            Origin::Class(name) => write!(f, "limits.classes.{name}"),
            Origin::Route(n) => write!(f, "limits.routes[{n}]"),
        }
    }
}

/// A value and where it comes from.
#[derive(Clone, Debug, PartialEq)]
pub struct Sourced<T> {
    /// The value.
    pub value: T,
    /// Where it comes from.
    pub from: Origin,
}

/// What holds for the calls of one route and class.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// How long a try may take; `None`: as long as the caller waits.
    pub time_out: Sourced<Option<TimeOut>>,
    /// Most tries.
    pub attempts: Sourced<u32>,
    /// Pause after a try without an answer.
    pub timed_out: Sourced<Micros>,
    /// Pause after one that was cut.
    pub reset: Sourced<Micros>,
    /// Pause after one that was called off.
    pub cancelled: Sourced<Micros>,
    /// Pause after one that met a full server.
    pub full: Sourced<Micros>,
    /// What is added to the pause.
    pub back_off: Sourced<Option<BackOff>>,
    /// Bounds of the advice when to come back.
    pub retry_after: Sourced<Option<RetryAfterBounds>>,
    /// A second try goes out after this.
    pub second_copies: Sourced<Option<Micros>>,
}

impl Limits {
    /// What holds where there is no file.
    pub fn of_platform(ceilings: &Ceilings) -> Limits {
        Plan::new(Section::default(), ceilings).compile(None, None)
    }

    /// The pause after a try that ended so, without back-off.
    pub fn pause(&self, outcome: Outcome) -> Micros {
        match outcome {
            Outcome::TimedOut => self.timed_out.value,
            Outcome::Reset => self.reset.value,
            Outcome::Cancelled => self.cancelled.value,
            Outcome::Rejected => self.full.value,
            Outcome::Completed | Outcome::Failed | Outcome::Unreachable | Outcome::NotSent => 0,
        }
    }

    /// The longest that back-off adds after this many tries, 1 or more.
    pub fn max_back_off(&self, tries: u32) -> Micros {
        let Some(b) = self.back_off.value else { return 0 };
        let grown = b.first.0 as f64 * b.factor.powi(tries.saturating_sub(1).min(64) as i32);
        grown.min(b.most.0 as f64) as Micros
    }

    /// The share of it that is drawn at random.
    pub fn jitter(&self) -> f64 {
        self.back_off.value.map_or(0.0, |b| b.jitter.0.clamp(0.0, 1.0))
    }
}

/// What was compiled already, by route and class.
type Compiled = HashMap<(Option<u32>, String), Rc<Limits>>;

/// The section, compiled.
pub struct Plan {
    /// The section as it was read.
    pub section: Section,
    /// What the installation permits.
    pub ceilings: Ceilings,
    pub(super) trie: Trie<u32>,
    compiled: RefCell<Compiled>,
}

impl fmt::Debug for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Plan").field("routes", &self.section.routes.len()).finish_non_exhaustive()
    }
}

impl Match {
    /// Whether a call of this class and pool fits, its number's prefix apart.
    pub fn fits(&self, class: &str, pool: i64) -> bool {
        self.class.as_deref().is_none_or(|c| c == class) && self.pool.is_none_or(|p| p == pool)
    }

    /// How many conditions it has beside the prefix.
    pub fn conditions(&self) -> usize {
        usize::from(self.class.is_some()) + usize::from(self.pool.is_some())
    }
}

impl Plan {
    /// Compiles a section.
    pub fn new(section: Section, ceilings: &Ceilings) -> Plan {
        let prefixes = section.routes.iter().zip(0..).map(|(r, n)| (r.matches.prefix.as_str(), n));
        let trie = Trie::new(prefixes);
        Plan { section, ceilings: ceilings.clone(), trie, compiled: RefCell::default() }
    }

    /// The route of a call, by its place in the list: the narrowest that the call fits.
    pub fn route(&self, class: &str, pool: i64, number: &str) -> Option<usize> {
        let mut best = None;
        for at_prefix in self.trie.along(number) {
            let fits = |n: &&u32| self.section.routes[**n as usize].matches.fits(class, pool);
            let narrowest = at_prefix
                .iter()
                .filter(fits)
                .max_by_key(|n| self.section.routes[**n as usize].matches.conditions());
            best = narrowest.copied().or(best); // a longer prefix is narrower
        }
        best.map(|n| n as usize)
    }

    /// What holds for the calls of a route and class; compiled once.
    pub fn limits(&self, route: Option<usize>, class: &str) -> Rc<Limits> {
        let key = (route.map(|n| n as u32), class.to_string());
        if let Some(limits) = self.compiled.borrow().get(&key) {
            return limits.clone();
        }
        let limits = Rc::new(self.compile(route, Some(class)));
        self.compiled.borrow_mut().insert(key, limits.clone());
        limits
    }

    /// The levels at which something may be written for such calls, the narrowest first.
    pub fn levels<'a>(
        &'a self,
        route: Option<usize>,
        class: Option<&'a str>,
    ) -> impl Iterator<Item = (Origin, &'a Terms)> {
        let route = route.and_then(|n| Some((Origin::Route(n), &self.section.routes.get(n)?.limits)));
        let class = class.and_then(|c| Some((Origin::Class(c.to_string()), self.section.classes.get(c)?)));
        route.into_iter().chain(class).chain(std::iter::once((Origin::Default, &self.section.default)))
    }

    /// Merges what is written for a route and a class: route before class before default before the platform.
    pub fn compile(&self, route: Option<usize>, class: Option<&str>) -> Limits {
        fn pick<'a, T>(
            mut levels: impl Iterator<Item = (Origin, &'a Terms)>,
            get: impl Fn(&Terms) -> Option<T>,
            or: T,
            from: Origin,
        ) -> Sourced<T> {
            let found = levels.find_map(|(origin, terms)| get(terms).map(|value| (value, origin)));
            let (value, from) = found.unwrap_or((or, from));
            Sourced { value, from }
        }
        let levels = || self.levels(route, class);
        let (program, platform) = (Origin::Program, Origin::Platform);
        let pause_from = if self.ceilings.release_wait > 0 { &platform } else { &program };
        let attempts_from = if self.ceilings.attempts > 0 { &platform } else { &program };
        let pause = |get: fn(&Terms) -> Option<Span>| {
            pick(levels(), |t| get(t).map(|s| s.0), self.ceilings.min_pause(), pause_from.clone())
        };
        Limits {
            time_out: pick(levels(), |t| t.time_out.map(Some), None, program.clone()),
            attempts: pick(levels(), |t| t.attempts, self.ceilings.max_attempts(), attempts_from.clone()),
            timed_out: pause(|t| t.pause.timed_out),
            reset: pause(|t| t.pause.reset),
            cancelled: pause(|t| t.pause.cancelled),
            full: pick(levels(), |t| t.pause.full.map(|s| s.0), 0, program.clone()),
            back_off: pick(levels(), |t| t.back_off.map(Some), None, program.clone()),
            retry_after: pick(levels(), |t| t.retry_after.map(Some), None, program.clone()),
            second_copies: pick(levels(), |t| t.second_copies.map(|s| Some(s.after.0)), None, program),
        }
    }
}
