//! The leader's side of leases: who would own what, until when an item may be in use, and what is to be granted or freed next.
//! Nothing of it is kept: a new leader takes every item that is somebody's for leased from its first moment on.

use std::collections::{BTreeMap, BTreeSet};

use super::{CHANGES_MOST, Change, Claim, Claimed, Grants, Who, Work, counted};
use crate::Micros;

/// Most claimants that are known at a time; further ones wait until one has fallen silent.
const CLAIMANTS_MOST: usize = 1_024;

#[derive(Clone, Debug)]
struct Claimant {
    wants: BTreeSet<Work>,
    heard: Micros,
}

/// See the module.
#[derive(Clone, Debug)]
pub struct Keeper {
    lease: Micros,
    /// Before this nothing that is somebody's is taken from it.
    quiet: Micros,
    until: BTreeMap<Work, Micros>,
    claimants: BTreeMap<Who, Claimant>,
    /// Freed by their owners, to be ordered.
    drops: BTreeMap<Work, u64>,
    /// Ordered: the token that was held before, and whether it is to be nobody's.
    ordered: BTreeMap<Work, (u64, bool)>,
}

impl Keeper {
    /// A leader that has just been elected.
    pub fn new(now: Micros, lease: Micros) -> Keeper {
        Keeper {
            lease,
            quiet: now + counted(lease),
            until: BTreeMap::new(),
            claimants: BTreeMap::new(),
            drops: BTreeMap::new(),
            ordered: BTreeMap::new(),
        }
    }

    /// Takes a claim. It is answered only once a majority has confirmed, after it came, that this one leads.
    pub fn claim(&mut self, now: Micros, claim: &Claim, grants: &Grants) {
        if claim.wants.is_empty() {
            self.claimants.remove(&claim.who);
        } else if self.claimants.len() < CLAIMANTS_MOST || self.claimants.contains_key(&claim.who) {
            let wants = claim.wants.iter().cloned().collect();
            self.claimants.insert(claim.who.clone(), Claimant { wants, heard: now });
        }
        for (work, token) in &claim.drops {
            let its = grants.of(work).filter(|g| g.owner.as_ref() == Some(&claim.who) && g.token == *token);
            if its.is_some() {
                self.drops.insert(work.clone(), *token);
            }
        }
    }

    /// The answer to a claim that was confirmed; what it names is leased from now on.
    pub fn confirmed(&mut self, now: Micros, claim: &Claim, grants: &Grants) -> Claimed {
        let mut yours = Vec::new();
        for (work, grant) in grants.all() {
            // An item that was ordered away is its next owner's from whenever that is committed: no lease may reach past it.
            let given_up = self.ordered.contains_key(work) || self.drops.contains_key(work);
            if grant.owner.as_ref() != Some(&claim.who) || given_up {
                continue;
            }
            self.until.insert(work.clone(), now + counted(self.lease));
            yours.push((work.clone(), grant.token));
        }
        Claimed { number: claim.number, yours }
    }

    /// What to order next, a bounded number at a time: freed items, then grants of those that are nobody's or whose lease is over.
    pub fn changes(&mut self, now: Micros, grants: &Grants) -> Vec<Change> {
        let silent = |c: &Claimant| now.saturating_sub(c.heard) >= self.lease;
        self.claimants.retain(|_, c| !silent(c));
        self.ordered.retain(|work, (after, frees)| {
            let grant = grants.of(work);
            grant.map_or(0, |g| g.token) == *after && (!*frees || grant.is_some_and(|g| g.owner.is_some()))
        });
        self.drops
            .retain(|work, token| grants.of(work).is_some_and(|g| g.owner.is_some() && g.token == *token));
        let mut changes = Vec::new();
        for (work, token) in &self.drops {
            if changes.len() < CHANGES_MOST && !self.ordered.contains_key(work) {
                changes.push(Change { work: work.clone(), after: *token, to: None });
            }
        }
        let mut load: BTreeMap<Who, usize> = self.claimants.keys().map(|who| (who.clone(), 0)).collect();
        for owner in grants.all().filter_map(|(_, grant)| grant.owner.as_ref()) {
            load.entry(owner.clone()).and_modify(|count| *count += 1);
        }
        let wanted: BTreeSet<Work> =
            self.claimants.values().flat_map(|claimant| claimant.wants.iter().cloned()).collect();
        for work in wanted {
            if changes.len() >= CHANGES_MOST {
                break;
            }
            if self.ordered.contains_key(&work) || self.drops.contains_key(&work) {
                continue;
            }
            let grant = grants.of(&work).cloned().unwrap_or_default();
            let leased = self.until.get(&work).copied().unwrap_or(0).max(self.quiet);
            if grant.owner.is_some() && now < leased {
                continue;
            }
            // Evenly: to the one of those that want it that has the fewest, and among such the one that the item's name draws.
            let fit = self.claimants.iter().filter(|(_, claimant)| claimant.wants.contains(&work));
            let next = fit.map(|(who, _)| (load.get(who).copied().unwrap_or(0), draw(&work, who), who)).min();
            let Some((_, _, who)) = next else { continue };
            let who = who.clone();
            load.entry(who.clone()).and_modify(|count| *count += 1);
            // Time to hear of it and to claim it, before it is given to the next.
            self.until.insert(work.clone(), now + counted(self.lease));
            changes.push(Change { work, after: grant.token, to: Some(who) });
        }
        self.ordered.extend(changes.iter().map(|c| (c.work.clone(), (c.after, c.to.is_none()))));
        changes
    }

    /// These were not taken into the log. Not for orders that may still be committed.
    pub fn ordered_in_vain(&mut self, changes: &[Change]) {
        for change in changes {
            self.ordered.remove(&change.work);
        }
    }
}

/// Rendezvous hashing: each item draws its members in an order of its own.
fn draw(work: &Work, who: &Who) -> u64 {
    crate::wire::digest(format!("{work} {}", who.id).as_bytes())
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::member::MemberId;
    use crate::owner::body;
    use crate::quorum::machine::Machine;

    const LEASE: Micros = 1_000;

    fn who(n: usize) -> Who {
        Who { id: MemberId::new(&format!("n{n}")).unwrap(), start: 1 }
    }

    fn claim(n: usize, works: usize) -> Claim {
        let wants = (0..works).map(|w| Work::new(&format!("w{w}")).unwrap()).collect();
        Claim { who: who(n), number: 1, wants, drops: Vec::new() }
    }

    fn counts(grants: &Grants, members: usize) -> Vec<usize> {
        let of = |n| grants.all().filter(|(_, g)| g.owner.as_ref() == Some(&who(n))).count();
        (0..members).map(of).collect()
    }

    /// A thousand items over five members: evenly; when one dies its own are spread over the others, and nothing else moves.
    #[test]
    fn items_are_spread_evenly_and_stay_where_they_are() {
        let (mut keeper, mut grants, mut index) = (Keeper::new(0, LEASE), Grants::default(), 0);
        let mut order = |keeper: &mut Keeper, grants: &mut Grants, now, members: &[usize]| {
            for n in members {
                keeper.claim(now, &claim(*n, 1_000), grants);
            }
            let mut rounds = 0;
            loop {
                let changes = keeper.changes(now, grants);
                if changes.is_empty() {
                    return rounds;
                }
                assert!(changes.len() <= CHANGES_MOST);
                index += 1;
                rounds += 1;
                grants.apply(index, &body(&changes));
            }
        };
        order(&mut keeper, &mut grants, 0, &[0, 1, 2, 3, 4]);
        assert_eq!(counts(&grants, 5), [200; 5]);
        for n in 0..5 {
            keeper.confirmed(0, &claim(n, 1_000), &grants);
        }
        let before = grants.clone();
        assert_eq!(order(&mut keeper, &mut grants, 500, &[0, 1, 2, 3]), 0, "its lease is not over");
        for n in 0..4 {
            keeper.confirmed(1_000, &claim(n, 1_000), &grants);
        }
        let rounds = order(&mut keeper, &mut grants, counted(LEASE), &[0, 1, 2, 3]);
        assert_eq!(
            (counts(&grants, 5), rounds),
            (vec![250, 250, 250, 250, 0], 200usize.div_ceil(CHANGES_MOST))
        );
        let moved = before.all().filter(|(work, grant)| grants.of(work) != Some(*grant)).count();
        assert_eq!(moved, 200);
    }

    #[test]
    fn a_new_leader_takes_nothing_from_anybody_for_a_lease() {
        let (mut grants, work) = (Grants::default(), Work::new("w0").unwrap());
        grants.apply(1, &body(&[Change { work: work.clone(), after: 0, to: Some(who(0)) }]));
        let mut keeper = Keeper::new(50, LEASE);
        keeper.claim(50 + counted(LEASE) - 1, &claim(1, 1), &grants);
        assert_eq!(keeper.changes(50 + counted(LEASE) - 1, &grants), []);
        assert_eq!(keeper.changes(50 + counted(LEASE), &grants)[0].to, Some(who(1)));
    }

    /// Who puts an item down says so, and the next has it without waiting for a lease.
    #[test]
    fn what_was_put_down_is_free_at_once() {
        let (mut grants, work) = (Grants::default(), Work::new("w0").unwrap());
        grants.apply(1, &body(&[Change { work: work.clone(), after: 0, to: Some(who(0)) }]));
        let mut keeper = Keeper::new(0, LEASE);
        keeper.claim(5, &claim(1, 1), &grants);
        let drops = vec![(work.clone(), 1)];
        keeper.claim(5, &Claim { wants: Vec::new(), drops, ..claim(0, 0) }, &grants);
        let changes = keeper.changes(5, &grants);
        assert_eq!(changes, [Change { work: work.clone(), after: 1, to: None }]);
        grants.apply(2, &body(&changes));
        let changes = keeper.changes(6, &grants);
        assert_eq!(changes, [Change { work, after: 1, to: Some(who(1)) }]);
    }
}
