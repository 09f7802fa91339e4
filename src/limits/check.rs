//! Checks a plan: reports settings that would let a call break a rule.
//!
//! Each combination of route and class that can occur is compiled and checked. This finds conflicts between settings of a
//! route, a class and the platform that are each valid alone; such a finding names every setting involved.

mod combination;
mod level;

use std::collections::{BTreeMap, HashMap, HashSet};

use super::file::Match;
use super::plan::{ClassInfo, Plan};
use crate::ops::{Finding, Path};
pub use combination::find_conflicts;
use level::check_level;

/// The longest prefix of a number, in bytes.
const MAX_PREFIX: usize = 64;
/// The number of digits of a number on the platform.
const HEX_DIGITS: usize = 16;
/// Maximum number of findings of one kind; the search stops there, since a report shows fewer.
const MAX_FINDINGS: usize = 1_000;

/// The findings so far, without duplicates: settings shared by many routes are reported once.
#[derive(Default)]
struct Findings {
    list: Vec<Finding>,
    seen: HashSet<(&'static str, Vec<Path>)>,
}

impl Findings {
    fn add(&mut self, finding: Finding) {
        let paths = finding.locations.iter().map(|(p, _)| p.clone()).collect();
        if self.list.len() < 10 * MAX_FINDINGS && self.seen.insert((finding.rule, paths)) {
            self.list.push(finding);
        }
    }
}

impl Plan {
    /// Finds everything that is wrong with the plan.
    pub fn check(&self) -> Vec<Finding> {
        let mut findings = Findings::default();
        self.check_levels(&mut findings);
        self.check_routes(&mut findings);
        self.check_overlaps(&mut findings);
        self.check_combinations(&mut findings);
        findings.list
    }

    /// The classes that calls can have; `None` stands for every class that the file does not name.
    fn classes(&self) -> Vec<(Option<String>, Option<&ClassInfo>)> {
        match &self.ceilings.classes {
            Some(known) => known.iter().map(|c| (Some(c.name.clone()), Some(c))).collect(),
            None => {
                let named = self.section.classes.keys().cloned().map(|name| (Some(name), None));
                named.chain(std::iter::once((None, None))).collect()
            }
        }
    }

    // ---- Each setting on its own ----

    fn check_levels(&self, findings: &mut Findings) {
        let limits = Path::of("limits");
        check_level(&self.section.default, &limits.key("default"), findings);
        for (name, settings) in &self.section.classes {
            let at = limits.key("classes").key(name);
            if let Some(known) = &self.ceilings.classes
                && !known.iter().any(|c| c.name == *name)
            {
                let text = format!("there is no class '{name}'");
                findings.add(Finding::error("no-class", at.clone(), text, class_names_remedy(known)));
            }
            check_level(settings, &at, findings);
        }
        for (n, route) in self.section.routes.iter().enumerate() {
            check_level(&route.limits, &limits.key("routes").index(n).key("limits"), findings);
        }
    }

    // ---- Each route on its own ----

    fn check_routes(&self, findings: &mut Findings) {
        let routes = Path::of("limits").key("routes");
        let mut first: HashMap<&str, usize> = HashMap::new();
        for (n, route) in self.section.routes.iter().enumerate() {
            let (at, m) = (routes.index(n), &route.matches);
            let name = route.name.as_str();
            if name.trim().is_empty() {
                let remedy = "give it a unique name: buckets and budgets are kept under it across a reload";
                findings.add(Finding::error("name", at.key("name"), "the route has no name", remedy));
            } else if let Some(before) = first.insert(name, n) {
                let text = format!("two routes have the name '{name}'");
                let finding = Finding::error("name", at.key("name"), text, "give each a unique name");
                findings.add(finding.with(routes.index(before).key("name"), "the other route"));
            }
            let prefix = m.prefix.as_str();
            let at_prefix = at.key("match").key("prefix");
            if prefix.len() > MAX_PREFIX || prefix.chars().any(|c| c.is_whitespace() || c.is_control()) {
                let text =
                    format!("the prefix has blanks or more than {MAX_PREFIX} bytes, which no number has");
                findings.add(Finding::error(
                    "prefix",
                    at_prefix,
                    text,
                    "write the first characters of the number called",
                ));
            } else if self.ceilings.hex_numbers
                && (prefix.len() > HEX_DIGITS
                    || !prefix.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b)))
            {
                let text = "this route can never match: numbers are 16 hex digits in lower case";
                findings.add(Finding::error(
                    "never",
                    at_prefix,
                    text,
                    "write up to 16 digits, 0 to 9 and a to f",
                ));
            }
            if let Some(known) = &self.ceilings.classes {
                check_match(m, known, &at.key("match"), findings);
            }
        }
    }

    // ---- Routes against each other ----

    fn check_overlaps(&self, findings: &mut Findings) {
        let by_match = self.check_duplicates(findings);
        self.check_ties(&by_match, findings);
        if let Some(classes) = &self.ceilings.classes {
            self.check_covered(classes, &by_match, findings);
        }
    }

    /// Finds routes with equal conditions. Returns the last route for each set of conditions.
    fn check_duplicates(&self, findings: &mut Findings) -> BTreeMap<&Match, usize> {
        let mut by_match: BTreeMap<&Match, usize> = BTreeMap::new();
        for (n, route) in self.section.routes.iter().enumerate() {
            if let Some(before) = by_match.insert(&route.matches, n) {
                let text = format!(
                    "routes '{}' and '{}' match the same calls, so neither has priority",
                    self.section.routes[before].name, route.name
                );
                let remedy = "make one of them narrower, or remove it";
                let finding = Finding::error("tie", match_path(n), text, remedy);
                findings.add(finding.with(match_path(before), "the other route"));
            }
        }
        by_match
    }

    /// Finds pairs of routes that match some of the same calls while neither is narrower than the other.
    fn check_ties(&self, by_match: &BTreeMap<&Match, usize>, findings: &mut Findings) {
        let mut ties = 0;
        for (n, route) in self.section.routes.iter().enumerate() {
            let a = &route.matches;
            if a.condition_count() == 2 {
                continue; // narrower than, or disjoint from, any route with the same or a shorter prefix
            }
            for other in self.trie.prefix_values(&a.prefix).flatten().map(|n| *n as usize) {
                let b = &self.section.routes[other].matches;
                let tie = is_tie(a, b) && (a.prefix != b.prefix || n > other);
                if !tie || ties >= MAX_FINDINGS {
                    continue;
                }
                let common = intersection(a, b);
                if by_match.contains_key(&common) {
                    continue; // another route takes exactly the calls that both match
                }
                ties += 1;
                findings.add(self.tie_finding(n, other, &common));
            }
        }
    }

    fn tie_finding(&self, n: usize, other: usize, common: &Match) -> Finding {
        let routes = &self.section.routes;
        let (name, other_name) = (&routes[n].name, &routes[other].name);
        let text =
            format!("routes '{name}' and '{other_name}' both match some calls, and neither is narrower");
        let remedy = format!("add a route for the calls that both match: {}", format_match(common));
        Finding::error("tie", match_path(n), text, remedy).with(match_path(other), "the other route")
    }

    /// Finds routes without a class condition for which every class has a narrower route.
    fn check_covered(
        &self,
        classes: &[ClassInfo],
        by_match: &BTreeMap<&Match, usize>,
        findings: &mut Findings,
    ) {
        for (n, route) in self.section.routes.iter().enumerate().filter(|(_, r)| r.matches.class.is_none()) {
            let matches = &route.matches;
            let may_use_pool = |class: &&ClassInfo| {
                matches
                    .pool
                    .is_none_or(|pool| class.allowed_pools.as_ref().is_none_or(|pools| pools.contains(&pool)))
            };
            let narrower = |class: &ClassInfo| {
                by_match.get(&Match { class: Some(class.name.clone()), ..matches.clone() }).copied()
            };
            let covering: Vec<Option<usize>> = classes.iter().filter(may_use_pool).map(narrower).collect();
            if covering.is_empty() || covering.contains(&None) {
                continue;
            }
            let text = format!("route '{}' can never match: each class has a narrower route", route.name);
            let remedy = "remove it, or one of the routes that cover it";
            let finding = Finding::error("never", match_path(n), text, remedy);
            let covering = covering.into_iter().flatten();
            findings.add(covering.fold(finding, |finding, c| finding.with(match_path(c), "covers it")));
        }
    }

    // ---- Combinations of a route and a class ----

    fn check_combinations(&self, findings: &mut Findings) {
        let classes = self.classes();
        for (name, info) in &classes {
            self.check_combination(None, name.as_deref(), *info, findings);
        }
        for (n, route) in self.section.routes.iter().enumerate() {
            let applies =
                |name: &Option<String>| route.matches.class.is_none() || route.matches.class == *name;
            for (name, info) in classes.iter().filter(|(name, _)| applies(name)) {
                self.check_combination(Some(n), name.as_deref(), *info, findings);
            }
        }
    }

    fn check_combination(
        &self,
        route: Option<usize>,
        class: Option<&str>,
        info: Option<&ClassInfo>,
        findings: &mut Findings,
    ) {
        // A conflict between settings of a route and others is reported where the route is checked.
        for finding in find_conflicts(&self.compile(route, class), &self.ceilings, info) {
            findings.add(finding);
        }
        let mut caps = self.levels(route, class).filter_map(|(o, s)| s.open_calls.map(|n| (o, n)));
        if let Some((narrow, narrow_cap)) = caps.next() {
            for (wide, wide_cap) in caps.filter(|(_, n)| *n < narrow_cap) {
                let (Some(a), Some(b)) = (narrow.path("open_calls"), wide.path("open_calls")) else {
                    continue;
                };
                let text = format!(
                    "this limit of {narrow_cap} open calls is never reached: {wide} allows {wide_cap} in total"
                );
                findings
                    .add(Finding::error("unreached", a, text, "lower it").warning().with(b, "reached first"));
            }
        }
    }
}

fn check_match(m: &Match, known: &[ClassInfo], at: &Path, findings: &mut Findings) {
    let class = m.class.as_ref().map(|name| (name, known.iter().find(|c| c.name == *name)));
    if let Some((name, None)) = class {
        let text = format!("there is no class '{name}'");
        findings.add(Finding::error("no-class", at.key("class"), text, class_names_remedy(known)));
    }
    let Some(pool) = m.pool else { return };
    let may_use_pool = |c: &ClassInfo| c.allowed_pools.as_ref().is_none_or(|pools| pools.contains(&pool));
    if !known.iter().any(may_use_pool) {
        let text = format!("there is no pool {pool} that any class may go to");
        findings.add(Finding::error(
            "no-pool",
            at.key("pool"),
            text,
            "write the number of a pool from the settings",
        ));
    } else if let Some((name, Some(class))) = class
        && !may_use_pool(class)
    {
        let text = format!("this route can never match: class '{name}' may not go to pool {pool}");
        let finding = Finding::error("never", at.key("pool"), text, "remove the class or the pool");
        findings.add(finding.with(at.key("class"), "this class may not go there"));
    }
}

/// The path of a route's conditions in the file.
fn match_path(route: usize) -> Path {
    Path::of("limits").key("routes").index(route).key("match")
}

/// The conditions of the calls that both routes match; `b`'s prefix must be a prefix of `a`'s.
fn intersection(a: &Match, b: &Match) -> Match {
    Match {
        class: a.class.clone().or_else(|| b.class.clone()),
        pool: a.pool.or(b.pool),
        prefix: a.prefix.clone(),
    }
}

/// Whether two routes match some of the same calls and neither is narrower; `b`'s prefix must be a prefix of `a`'s.
fn is_tie(a: &Match, b: &Match) -> bool {
    let disjoint = |x: bool, y: bool, same: bool| x && y && !same;
    if disjoint(a.class.is_some(), b.class.is_some(), a.class == b.class)
        || disjoint(a.pool.is_some(), b.pool.is_some(), a.pool == b.pool)
    {
        return false;
    }
    let is_subset = |a: &Match, b: &Match| {
        (b.class.is_none() || a.class == b.class)
            && (b.pool.is_none() || a.pool == b.pool)
            && a.prefix.starts_with(&b.prefix)
    };
    !is_subset(a, b) && !is_subset(b, a)
}

fn format_match(m: &Match) -> String {
    let class = m.class.as_ref().map(|c| format!("class: \"{c}\""));
    let pool = m.pool.map(|p| format!("pool: {p}"));
    let prefix = (!m.prefix.is_empty()).then(|| format!("prefix: \"{}\"", m.prefix));
    let parts: Vec<String> = [class, pool, prefix].into_iter().flatten().collect();
    format!("match: {{{}}}", parts.join(", "))
}

fn class_names_remedy(known: &[ClassInfo]) -> String {
    format!("write one of {}", known.iter().map(|c| c.name.as_str()).collect::<Vec<_>>().join(", "))
}
