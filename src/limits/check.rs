//! The rules as a checker: what a plan's settings let a call live through, and what of it no rule allows.
//!
//! Each combination of route and class that can occur is compiled and checked, so that a conflict is found that only
//! exists between a route's setting, its class's and the platform's, each of them fine alone. Such a finding names all
//! places that make it up.

use std::collections::{BTreeMap, HashMap, HashSet};

use super::file::{Match, Terms};
use super::plan::{ClassInfo, Limits, MAX_ATTEMPTS, Origin, Plan, Sourced};
use super::units::Span;
use crate::Micros;
use crate::ops::{Finding, Path};

/// The longest prefix of a number.
const MAX_PREFIX: usize = 64;
/// The digits of a number on the platform.
const HEX_DIGITS: usize = 16;
/// Findings of one kind after which the search for more of it ends: the report tells fewer.
const MAX_FINDINGS: usize = 1_000;

/// What has been found, each thing once however many routes share it.
#[derive(Default)]
struct Found {
    findings: Vec<Finding>,
    seen: HashSet<(&'static str, Vec<Path>)>,
}

impl Found {
    fn add(&mut self, finding: Finding) {
        let places = finding.places.iter().map(|(p, _)| p.clone()).collect();
        if self.findings.len() < 10 * MAX_FINDINGS && self.seen.insert((finding.rule, places)) {
            self.findings.push(finding);
        }
    }
}

impl Plan {
    /// Everything that is wrong with the plan.
    pub fn check(&self) -> Vec<Finding> {
        let mut found = Found::default();
        self.check_levels(&mut found);
        self.check_routes(&mut found);
        self.check_overlaps(&mut found);
        self.check_combinations(&mut found);
        found.findings
    }

    /// The classes that calls can have; `None` stands for any that is not named.
    fn classes(&self) -> Vec<(Option<String>, Option<&ClassInfo>)> {
        match &self.ceilings.classes {
            Some(known) => known.iter().map(|c| (Some(c.name.clone()), Some(c))).collect(),
            None => {
                let named = self.section.classes.keys().cloned().map(|name| (Some(name), None));
                named.chain(std::iter::once((None, None))).collect()
            }
        }
    }

    // ---- Each value alone ----

    fn check_levels(&self, found: &mut Found) {
        let limits = Path::of("limits");
        check_terms(&self.section.default, &limits.key("default"), found);
        for (name, terms) in &self.section.classes {
            let at = limits.key("classes").key(name);
            if let Some(known) = &self.ceilings.classes
                && !known.iter().any(|c| c.name == *name)
            {
                let text = format!("there is no class '{name}'");
                found.add(Finding::error("no-class", at.clone(), text, names(known)));
            }
            check_terms(terms, &at, found);
        }
        for (n, route) in self.section.routes.iter().enumerate() {
            check_terms(&route.limits, &limits.key("routes").index(n).key("limits"), found);
        }
    }

    // ---- Each route alone ----

    fn check_routes(&self, found: &mut Found) {
        let routes = Path::of("limits").key("routes");
        let mut first: HashMap<&str, usize> = HashMap::new();
        for (n, route) in self.section.routes.iter().enumerate() {
            let (at, m) = (routes.index(n), &route.matches);
            let name = route.name.as_str();
            if name.trim().is_empty() {
                let remedy = "give it a name of its own: buckets and budgets go by it over a reload";
                found.add(Finding::error("name", at.key("name"), "the route has no name", remedy));
            } else if let Some(before) = first.insert(name, n) {
                let text = format!("two routes have the name '{name}'");
                let finding = Finding::error("name", at.key("name"), text, "give each a name of its own");
                found.add(finding.with(routes.index(before).key("name"), "the other one"));
            }
            let prefix = m.prefix.as_str();
            let at_prefix = at.key("match").key("prefix");
            if prefix.len() > MAX_PREFIX || prefix.chars().any(|c| c.is_whitespace() || c.is_control()) {
                let text = format!("the prefix has blanks, or more than {MAX_PREFIX} bytes: no number has");
                found.add(Finding::error("prefix", at_prefix, text, "write how the number called begins"));
            } else if self.ceilings.hex_numbers
                && (prefix.len() > HEX_DIGITS
                    || !prefix.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b)))
            {
                let text = "this route can never match: numbers are 16 hex digits, in lower case";
                found.add(Finding::error("never", at_prefix, text, "write up to 16 of 0 to 9 and a to f"));
            }
            if let Some(known) = &self.ceilings.classes {
                check_match(m, known, &at.key("match"), found);
            }
        }
    }

    // ---- Routes against each other ----

    fn check_overlaps(&self, found: &mut Found) {
        let at = |n: usize| Path::of("limits").key("routes").index(n).key("match");
        let mut by_match: BTreeMap<&Match, usize> = BTreeMap::new();
        for (n, route) in self.section.routes.iter().enumerate() {
            if let Some(before) = by_match.insert(&route.matches, n) {
                let text = format!(
                    "routes '{}' and '{}' match the same calls, so neither goes before the other",
                    self.section.routes[before].name, route.name
                );
                let finding =
                    Finding::error("tie", at(n), text, "make one of them narrower, or leave it out");
                found.add(finding.with(at(before), "the other one"));
            }
        }
        let mut ties = 0;
        for (n, route) in self.section.routes.iter().enumerate() {
            let a = &route.matches;
            if a.conditions() == 2 {
                continue; // narrower than all whose prefix is no longer, or apart from them
            }
            for other in self.trie.along(&a.prefix).flatten().map(|n| *n as usize) {
                let b = &self.section.routes[other].matches;
                let tie = tied(a, b) && (a.prefix != b.prefix || n > other);
                if !tie || ties >= MAX_FINDINGS {
                    continue;
                }
                let meet = Match {
                    class: a.class.clone().or_else(|| b.class.clone()),
                    pool: a.pool.or(b.pool),
                    prefix: a.prefix.clone(),
                };
                if by_match.contains_key(&meet) {
                    continue; // a route of its own settles what both match
                }
                ties += 1;
                let text = format!(
                    "routes '{}' and '{}' both match some calls, and neither is narrower",
                    route.name, self.section.routes[other].name
                );
                let remedy = format!("add a route for what both match: {}", written(&meet));
                found.add(Finding::error("tie", at(n), text, remedy).with(at(other), "the other one"));
            }
        }
        let Some(known) = &self.ceilings.classes else { return };
        for (n, route) in self.section.routes.iter().enumerate().filter(|(_, r)| r.matches.class.is_none()) {
            let m = &route.matches;
            let takes =
                |c: &&ClassInfo| m.pool.is_none_or(|p| c.pools.as_ref().is_none_or(|ps| ps.contains(&p)));
            let covers =
                |c: &ClassInfo| by_match.get(&Match { class: Some(c.name.clone()), ..m.clone() }).copied();
            let covering: Vec<Option<usize>> = known.iter().filter(takes).map(covers).collect();
            if !covering.is_empty() && covering.iter().all(Option::is_some) {
                let text = format!(
                    "route '{}' can never match: each class has a narrower route of its own",
                    route.name
                );
                let finding =
                    Finding::error("never", at(n), text, "leave it out, or one of those that cover it");
                let finding = covering.into_iter().flatten().fold(finding, |f, c| f.with(at(c), "covers it"));
                found.add(finding);
            }
        }
    }

    // ---- What only exists in combination ----

    fn check_combinations(&self, found: &mut Found) {
        let classes = self.classes();
        for (name, info) in &classes {
            self.check_combination(None, name.as_deref(), *info, found);
        }
        for (n, route) in self.section.routes.iter().enumerate() {
            let fits = |name: &Option<String>| route.matches.class.is_none() || route.matches.class == *name;
            for (name, info) in classes.iter().filter(|(name, _)| fits(name)) {
                self.check_combination(Some(n), name.as_deref(), *info, found);
            }
        }
    }

    fn check_combination(
        &self,
        route: Option<usize>,
        class: Option<&str>,
        info: Option<&ClassInfo>,
        found: &mut Found,
    ) {
        for finding in faults(&self.compile(route, class), &self.ceilings, info) {
            // What only exists between places of a route's and others is told where the route is.
            found.add(finding);
        }
        let mut caps = self.levels(route, class).filter_map(|(o, t)| t.open_calls.map(|n| (o, n)));
        if let Some((narrow, few)) = caps.next() {
            for (wide, fewer) in caps.filter(|(_, n)| *n < few) {
                let (Some(a), Some(b)) = (narrow.path("open_calls"), wide.path("open_calls")) else {
                    continue;
                };
                let text =
                    format!("this limit of {few} open calls is never reached: {wide} allows {fewer} in all");
                found
                    .add(Finding::error("unreached", a, text, "lower it").warning().with(b, "reached first"));
            }
        }
    }
}

/// The faults of what holds for one route and class; each names all settings that make it up.
pub fn faults(limits: &Limits, ceilings: &super::Ceilings, class: Option<&ClassInfo>) -> Vec<Finding> {
    let mut out = Vec::new();
    let mut say =
        |rule, text: String, remedy: String, made_of: &[(&Origin, &str, String)]| -> Option<usize> {
            let mut places =
                made_of.iter().filter_map(|(from, setting, what)| Some((from.path(setting)?, what.clone())));
            let (first, _) = places.next()?;
            let finding =
                places.fold(Finding::error(rule, first, text, remedy), |f, (p, what)| f.with(p, what));
            out.push(finding);
            Some(out.len() - 1)
        };
    let span = |micros: Micros| Span(micros).to_string();
    let attempts = limits.attempts.value;
    let most = ceilings.max_attempts();
    if attempts > most {
        let by = if ceilings.attempts > 0 && ceilings.attempts < MAX_ATTEMPTS {
            "the platform allows"
        } else {
            "a call may have"
        };
        let text = format!("{attempts} attempts, and {by} {most} at most");
        say(
            "attempts",
            text,
            format!("write {most} or less"),
            &[(&limits.attempts.from, "attempts", String::new())],
        );
    }
    let least = ceilings.min_pause();
    let by = if ceilings.release_wait > 0 { "the installation's release wait" } else { "the rule" };
    for (pause, setting) in pauses(limits) {
        if pause.value < least {
            let text = format!("a pause of {} where {by} asks for {}", span(pause.value), span(least));
            say(
                "pause",
                text,
                format!("write \"{}\" or more", span(least)),
                &[(&pause.from, setting, String::new())],
            );
        }
    }
    let patience = class.map(|c| c.patience).filter(|p| *p > 0);
    let try_for = patience.and_then(|p| limits.time_out.value.map(|t| t.of(p)));
    if let (Some(patience), Some(time_out)) = (patience, try_for)
        && time_out > patience
    {
        let text =
            format!("a try of {} outlasts the caller's patience of {}", span(time_out), span(patience));
        let remedy = format!("write \"{}\" or less", span(patience));
        say("outlasts", text, remedy, &[(&limits.time_out.from, "time_out", String::new())]);
    }
    let made_of = |main: &str| {
        let mut places = vec![(&limits.attempts.from, "attempts", format!("{attempts} attempts"))];
        for (pause, setting) in pauses(limits).into_iter().chain([(&limits.full, "pause.full")]) {
            places.push((&pause.from, setting, format!("a pause of {}", span(pause.value))));
        }
        places.push((&limits.back_off.from, "back_off", "grows from try to try".to_string()));
        if limits.time_out.value.is_some() {
            places.push((&limits.time_out.from, "time_out", "the time of a try".to_string()));
        }
        places.sort_by_key(|(_, setting, _)| *setting != main);
        places
    };
    if let Some(patience) = patience.filter(|_| attempts > 1 && attempts <= most) {
        let soonest = first_start(limits, attempts, Pace::Soonest);
        let latest = try_for.map(|t| first_start(limits, attempts, Pace::Latest(t)).saturating_add(t));
        if soonest >= patience {
            let text = format!(
                "attempt {attempts} can never happen: it could begin {} after the first at the soonest, and the caller waits {}",
                span(soonest),
                span(patience)
            );
            say("never-tried", text, "write fewer attempts or shorter pauses".into(), &made_of("attempts"));
        } else if let Some(end) = latest.filter(|end| *end > patience) {
            let text = format!(
                "where each try times out, {attempts} tries and their pauses take {}, and the caller waits {}: the last are cut short",
                span(end),
                span(patience)
            );
            let warned = say(
                "cut-short",
                text,
                "write fewer attempts, or a shorter time_out".into(),
                &made_of("time_out"),
            );
            if let Some(n) = warned {
                out[n] = out[n].clone().warning();
            }
        }
    }
    second_copies(limits, ceilings, class, try_for, &mut out);
    if let (Some(c), true) = (limits.retry_after.value, ceilings.max_retry_after > 0)
        && c.least.0 > ceilings.max_retry_after
        && let Some(at) = limits.retry_after.from.path("come_back.least")
    {
        let text = format!("callers heed no advice over {}", span(ceilings.max_retry_after));
        out.push(Finding::error("advice", at, text, "write less").warning());
    }
    out
}

fn second_copies(
    limits: &Limits,
    ceilings: &super::Ceilings,
    class: Option<&ClassInfo>,
    try_for: Option<Micros>,
    out: &mut Vec<Finding>,
) {
    let Some(after) = limits.second_copies.value else { return };
    let Some(at) = limits.second_copies.from.path("second_copies") else { return };
    let leave = "leave second_copies out";
    let text = "this version sends no second copies: the setting is checked and has no effect";
    out.push(Finding::error("no-effect", at.clone(), text, leave).warning());
    if ceilings.second_copies == Some(false) {
        let text = "second copies, where the installation forbids two attempts at once";
        out.push(Finding::error("second-copies", at.clone(), text, leave));
    }
    if let Some(class) = class.filter(|c| !c.repeatable) {
        let text = format!("second copies, and set-ups of class '{}' may not be repeated", class.name);
        out.push(Finding::error("second-copies", at.clone(), text, leave));
    }
    let with = |text: String, other: &Origin, setting: &str, what: &str| {
        let finding = Finding::error("second-copies", at.key("after"), text, leave);
        other.path(setting).into_iter().fold(finding, |f, p| f.with(p, what))
    };
    if limits.attempts.value < 2 {
        let text = "a second copy is a second attempt, and there is only one".to_string();
        out.push(with(text, &limits.attempts.from, "attempts", "one attempt"));
    }
    if let Some(time_out) = try_for.filter(|t| after >= *t) {
        let text = format!(
            "the second copy would go out after the first try has ended, which takes {}",
            Span(time_out)
        );
        out.push(with(text, &limits.time_out.from, "time_out", "the first try ends here"));
    }
}

/// How the tries before one go.
#[derive(Clone, Copy)]
enum Pace {
    /// Each ends the moment it is made, in the way whose pause is shortest.
    Soonest,
    /// Each takes this long and times out.
    Latest(Micros),
}

/// When a call's try of this number, from 1, begins, counted from its first.
fn first_start(limits: &Limits, number: u32, pace: Pace) -> Micros {
    (1..number).fold(0, |at: Micros, tries| {
        let grown = limits.max_back_off(tries);
        let gap = match pace {
            Pace::Soonest => {
                let shortest = pauses(limits).iter().map(|(p, _)| p.value).chain([limits.full.value]).min();
                shortest.unwrap_or(0) + (grown as f64 * (1.0 - limits.jitter())) as Micros
            }
            Pace::Latest(time_out) => time_out.saturating_add(limits.timed_out.value).saturating_add(grown),
        };
        at.saturating_add(gap)
    })
}

/// The pauses that the rule is about.
fn pauses(limits: &Limits) -> [(&Sourced<Micros>, &'static str); 3] {
    [
        (&limits.timed_out, "pause.timed_out"),
        (&limits.reset, "pause.reset"),
        (&limits.cancelled, "pause.cancelled"),
    ]
}

fn check_terms(terms: &Terms, at: &Path, found: &mut Found) {
    let mut wrong =
        |path: Path, text: &str, remedy: &str| found.add(Finding::error("zero", path, text, remedy));
    if terms.time_out.is_some_and(|t| t.of(1_000_000_000) == 0) {
        wrong(at.key("time_out"), "a try of no time can never be answered", "write how long a try may take");
    }
    if terms.attempts == Some(0) {
        wrong(at.key("attempts"), "with no attempts no call is ever set up", "write 1 to 4");
    }
    if terms.open_calls == Some(0) {
        wrong(at.key("open_calls"), "with no open calls every call is refused", "write 1 or more");
    }
    if let Some(rate) = terms.rate {
        if !(rate.per_second.is_finite() && rate.per_second > 0.0) {
            wrong(
                at.key("rate").key("per_second"),
                "a bucket that never fills refuses every call",
                "write more than 0",
            );
        }
        if rate.per_second > 1e6 {
            wrong(
                at.key("rate").key("per_second"),
                "no gatekeeper takes so many set-ups a second",
                "write 1000000 or less",
            );
        }
        if rate.burst == Some(0) {
            wrong(
                at.key("rate").key("burst"),
                "a bucket that holds nothing refuses every call",
                "write 1 or more",
            );
        }
    }
    if let Some(budget) = terms.retry_budget {
        let at = at.key("retry_budget");
        if budget.share.0 <= 0.0 {
            wrong(
                at.key("share"),
                "a budget of nothing allows no repeats",
                "write \"attempts: 1\" for no repeats, or a share over 0%",
            );
        }
        if budget.window.0 < 1_000_000 {
            wrong(
                at.key("window"),
                "a window under a second holds too few calls to count",
                "write \"1s\" or more",
            );
        }
    }
    if let Some(b) = terms.back_off {
        let at = at.key("back_off");
        if b.first > b.most {
            let finding = Finding::error(
                "order",
                at.key("first"),
                "the first pause is longer than the longest",
                "swap them",
            );
            found.add(finding.with(at.key("most"), "the longest"));
        }
        if !(b.factor.is_finite() && (1.0..=16.0).contains(&b.factor)) {
            let text = "a factor under 1 would make pauses shorter, one over 16 has no use";
            found.add(Finding::error("factor", at.key("factor"), text, "write 1 to 16"));
        }
        if b.jitter.0 > 1.0 {
            let text = "no more than all of the pause can be drawn at random";
            found.add(Finding::error("jitter", at.key("jitter"), text, "write \"100%\" or less"));
        }
    }
    if let Some(c) = terms.retry_after.filter(|c| c.least > c.most) {
        let at = at.key("come_back");
        let text = format!("the least advice, {}, is longer than the most", c.least);
        found.add(
            Finding::error("order", at.key("least"), text, "swap them").with(at.key("most"), "the most"),
        );
    }
    if terms.second_copies.is_some_and(|s| s.after.0 == 0) {
        let text = "a second copy at once is no second copy";
        found.add(Finding::error(
            "zero",
            at.key("second_copies").key("after"),
            text,
            "write how long the first try has",
        ));
    }
}

fn check_match(m: &Match, known: &[ClassInfo], at: &Path, found: &mut Found) {
    let class = m.class.as_ref().map(|name| (name, known.iter().find(|c| c.name == *name)));
    if let Some((name, None)) = class {
        let text = format!("there is no class '{name}'");
        found.add(Finding::error("no-class", at.key("class"), text, names(known)));
    }
    let Some(pool) = m.pool else { return };
    let takes = |c: &ClassInfo| c.pools.as_ref().is_none_or(|pools| pools.contains(&pool));
    if !known.iter().any(takes) {
        let text = format!("there is no pool {pool} that any class may go to");
        found.add(Finding::error(
            "no-pool",
            at.key("pool"),
            text,
            "write the number of a pool in the settings",
        ));
    } else if let Some((name, Some(class))) = class
        && !takes(class)
    {
        let text = format!("this route can never match: class '{name}' may not go to pool {pool}");
        let finding = Finding::error("never", at.key("pool"), text, "leave the class or the pool out");
        found.add(finding.with(at.key("class"), "may not go there"));
    }
}

/// Whether two routes match some call in common and neither is narrower; the second's prefix is no longer.
fn tied(a: &Match, b: &Match) -> bool {
    let apart = |x: bool, y: bool, same: bool| x && y && !same;
    if apart(a.class.is_some(), b.class.is_some(), a.class == b.class)
        || apart(a.pool.is_some(), b.pool.is_some(), a.pool == b.pool)
    {
        return false;
    }
    let within = |a: &Match, b: &Match| {
        (b.class.is_none() || a.class == b.class)
            && (b.pool.is_none() || a.pool == b.pool)
            && a.prefix.starts_with(&b.prefix)
    };
    !within(a, b) && !within(b, a)
}

fn written(m: &Match) -> String {
    let class = m.class.as_ref().map(|c| format!("class: \"{c}\""));
    let pool = m.pool.map(|p| format!("pool: {p}"));
    let prefix = (!m.prefix.is_empty()).then(|| format!("prefix: \"{}\"", m.prefix));
    let parts: Vec<String> = [class, pool, prefix].into_iter().flatten().collect();
    format!("match: {{{}}}", parts.join(", "))
}

fn names(known: &[ClassInfo]) -> String {
    format!("write one of {}", known.iter().map(|c| c.name.as_str()).collect::<Vec<_>>().join(", "))
}
