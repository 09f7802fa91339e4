//! The rules as a checker: what a plan's settings let a call live through, and what of it no rule allows.
//!
//! Each combination of route and class that can occur is compiled and checked, so that a conflict is found that only
//! exists between a route's setting, its class's and the platform's, each of them fine alone. Such a finding names all
//! places that make it up.

mod combination;
mod terms;

use std::collections::{BTreeMap, HashMap, HashSet};

use super::file::Match;
use super::plan::{ClassInfo, Plan};
use crate::ops::{Finding, Path};
pub use combination::faults;
use terms::check_terms;

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
        let by_match = self.check_duplicates(found);
        self.check_ties(&by_match, found);
        if let Some(classes) = &self.ceilings.classes {
            self.check_covered(classes, &by_match, found);
        }
    }

    /// Finds routes with the same match. Returns the last route of each match.
    fn check_duplicates(&self, found: &mut Found) -> BTreeMap<&Match, usize> {
        let mut by_match: BTreeMap<&Match, usize> = BTreeMap::new();
        for (n, route) in self.section.routes.iter().enumerate() {
            if let Some(before) = by_match.insert(&route.matches, n) {
                let text = format!(
                    "routes '{}' and '{}' match the same calls, so neither goes before the other",
                    self.section.routes[before].name, route.name
                );
                let remedy = "make one of them narrower, or leave it out";
                let finding = Finding::error("tie", match_path(n), text, remedy);
                found.add(finding.with(match_path(before), "the other one"));
            }
        }
        by_match
    }

    /// Finds routes that match some calls in common while neither is narrower.
    fn check_ties(&self, by_match: &BTreeMap<&Match, usize>, found: &mut Found) {
        let mut ties = 0;
        for (n, route) in self.section.routes.iter().enumerate() {
            let a = &route.matches;
            if a.conditions() == 2 {
                continue; // narrower than all whose prefix is no longer, or disjoint from them
            }
            for other in self.trie.along(&a.prefix).flatten().map(|n| *n as usize) {
                let b = &self.section.routes[other].matches;
                let tie = tied(a, b) && (a.prefix != b.prefix || n > other);
                if !tie || ties >= MAX_FINDINGS {
                    continue;
                }
                let common = intersection(a, b);
                if by_match.contains_key(&common) {
                    continue; // a route of its own settles what both match
                }
                ties += 1;
                found.add(self.tie(n, other, &common));
            }
        }
    }

    fn tie(&self, n: usize, other: usize, common: &Match) -> Finding {
        let routes = &self.section.routes;
        let (name, other_name) = (&routes[n].name, &routes[other].name);
        let text =
            format!("routes '{name}' and '{other_name}' both match some calls, and neither is narrower");
        let remedy = format!("add a route for what both match: {}", written(common));
        Finding::error("tie", match_path(n), text, remedy).with(match_path(other), "the other one")
    }

    /// Finds routes for any class that have a narrower route for each class.
    fn check_covered(&self, classes: &[ClassInfo], by_match: &BTreeMap<&Match, usize>, found: &mut Found) {
        for (n, route) in self.section.routes.iter().enumerate().filter(|(_, r)| r.matches.class.is_none()) {
            let matches = &route.matches;
            let may_use_pool = |class: &&ClassInfo| {
                matches.pool.is_none_or(|pool| class.pools.as_ref().is_none_or(|pools| pools.contains(&pool)))
            };
            let narrower = |class: &ClassInfo| {
                by_match.get(&Match { class: Some(class.name.clone()), ..matches.clone() }).copied()
            };
            let covering: Vec<Option<usize>> = classes.iter().filter(may_use_pool).map(narrower).collect();
            if covering.is_empty() || covering.contains(&None) {
                continue;
            }
            let text =
                format!("route '{}' can never match: each class has a narrower route of its own", route.name);
            let remedy = "leave it out, or one of those that cover it";
            let finding = Finding::error("never", match_path(n), text, remedy);
            let covering = covering.into_iter().flatten();
            found.add(covering.fold(finding, |finding, c| finding.with(match_path(c), "covers it")));
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

/// Where a route's match stands in the file.
fn match_path(route: usize) -> Path {
    Path::of("limits").key("routes").index(route).key("match")
}

/// What two routes match in common; the second's prefix is no longer than the first's.
fn intersection(a: &Match, b: &Match) -> Match {
    Match {
        class: a.class.clone().or_else(|| b.class.clone()),
        pool: a.pool.or(b.pool),
        prefix: a.prefix.clone(),
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
