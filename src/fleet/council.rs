//! The part of a member that has to do with the fleet's voters: as one of them, as leader, and as one that would own work. It feeds
//! the pure halves (`cobaltspool_fleet::{quorum, owner}`) and carries out what they say; it decides nothing.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::path::PathBuf;

use cobaltspool_fleet::member::MemberId;
use cobaltspool_fleet::owner::holder::{Holder, Turn};
use cobaltspool_fleet::owner::keeper::Keeper;
use cobaltspool_fleet::owner::{Change, Claim, Grants, Who, Work, body};
use cobaltspool_fleet::parcel::{Note, Parcel};
use cobaltspool_fleet::quorum::machine::Replica;
use cobaltspool_fleet::quorum::{Entry, Event, Order, Out, Role, Rules, Setup, Voter};
use tokio::sync::mpsc;

use super::status;
use super::store::{self, Store, Word};
use crate::Micros;

/// Claims that wait for a majority's word, at most; further ones are answered as if another led.
const CLAIMS_MOST: usize = 1_024;
/// Lines of what was decided that are kept for staff.
const LINES_MOST: usize = 256;

/// What a member is in the council.
#[derive(Clone, Debug)]
pub struct Seat {
    /// This process.
    pub who: Who,
    /// All voters.
    pub voters: Vec<MemberId>,
    /// Where a voter keeps its log.
    pub state: Option<PathBuf>,
    /// The election timeout.
    pub election: Micros,
    /// How long an owner may go on without a majority's word.
    pub lease: Micros,
    /// A folder that is whole is believed.
    pub trust_disk: bool,
}

struct Inner {
    voter: Option<Voter>,
    store: Option<Store>,
    /// Why it does not vote, where it cannot.
    trouble: Option<String>,
    replica: Replica<Grants>,
    keeper: Option<Keeper>,
    claims: BTreeMap<u64, Claim>,
    ticket: u64,
    seq: u64,
    holder: Holder,
    /// Who is asked next, where the leader is not known.
    turn: usize,
    leader: Option<MemberId>,
    answered: Option<Micros>,
    lines: VecDeque<status::Line>,
}

/// See the module.
pub struct Council {
    seat: Seat,
    inner: RefCell<Inner>,
}

impl Council {
    /// A member that has just started. It votes once it sits.
    pub fn new(now: Micros, seat: Seat) -> Council {
        let inner = Inner {
            voter: None,
            store: None,
            trouble: None,
            replica: Replica::default(),
            keeper: None,
            claims: BTreeMap::new(),
            ticket: 0,
            seq: 0,
            holder: Holder::new(now, seat.who.clone(), seat.lease),
            turn: 0,
            leader: None,
            answered: None,
            lines: VecDeque::new(),
        };
        Council { seat, inner: RefCell::new(inner) }
    }

    /// A voter takes its seat: opens its folder and starts to vote. One whose folder cannot be used, for now or at all, takes
    /// part without a vote and says so; it may try again. `nonce` is of this sitting.
    pub fn sit(
        &self,
        now: Micros,
        nonce: u64,
        words: mpsc::UnboundedSender<Word>,
        parcels: &mut Vec<Parcel>,
    ) {
        let inner = &mut *self.inner.borrow_mut();
        let folder = self.seat.state.as_ref().filter(|_| self.seat.voters.contains(&self.seat.who.id));
        let Some(folder) = folder.filter(|_| inner.voter.is_none()) else { return };
        let opened =
            store::open(folder).and_then(|(held, damage, opened)| Ok((held, damage, opened.run(words)?)));
        let (held, damage, store) = match opened {
            Ok(opened) => opened,
            Err(trouble) => {
                if inner.trouble.as_ref() != Some(&trouble) {
                    tracing::error!(target: "fleet", trouble, "this voter does not vote; tried again");
                }
                inner.trouble = Some(trouble);
                return;
            }
        };
        if damage.bad + damage.torn > 0 {
            let (bad, torn) = (damage.bad, damage.torn);
            tracing::error!(target: "fleet", bad, torn, "the voter's log is damaged: what is missing comes from its peers");
        }
        let set = Setup {
            id: self.seat.who.id.clone(),
            voters: self.seat.voters.clone(),
            election: self.seat.election,
            nonce,
            trust_disk: self.seat.trust_disk,
            rules: Rules::default(),
        };
        let mut out = Vec::new();
        (inner.store, inner.trouble) = (Some(store), None);
        inner.voter = Some(Voter::new(now, set, held, nonce, &mut out));
        self.carry_out(inner, now, out, parcels);
    }

    /// Whether it ought to sit and does not.
    pub fn stands(&self) -> bool {
        self.seat.voters.contains(&self.seat.who.id) && self.inner.borrow().voter.is_none()
    }

    /// Gives its seat up, and all that it owns: another process of this member takes them.
    pub fn rise(&self, now: Micros) -> Vec<Parcel> {
        let parcels = self.puts_all_down(now);
        let inner = &mut *self.inner.borrow_mut();
        (inner.voter, inner.store, inner.keeper) = (None, None, None);
        inner.claims.clear();
        inner.replica = Replica::default();
        parcels
    }

    /// It would own this item.
    pub fn wants(&self, work: Work) {
        self.inner.borrow_mut().holder.wants(work);
    }

    /// Puts down all that it owns.
    pub fn puts_all_down(&self, now: Micros) -> Vec<Parcel> {
        let mut inner = self.inner.borrow_mut();
        told(inner.holder.puts_all_down(now));
        let mut parcels = Vec::new();
        self.claim(&mut inner, now, &mut parcels);
        parcels
    }

    /// The token by which it may act for an item now.
    pub fn holds(&self, now: Micros, work: &Work) -> Option<u64> {
        self.inner.borrow().holder.holds(now, work)
    }

    fn parcel(&self, to: MemberId, note: Note) -> Parcel {
        Parcel { from: self.seat.who.id.clone(), to, note }
    }

    /// Keeps time; when it wants the next tick.
    pub fn tick(&self, now: Micros, parcels: &mut Vec<Parcel>) -> Micros {
        let inner = &mut *self.inner.borrow_mut();
        let mut out = Vec::new();
        let mut due = inner.holder.next_due();
        if let Some(voter) = &mut inner.voter {
            voter.tick(now, &mut out);
            due = due.min(voter.next_due(now));
        }
        self.carry_out(inner, now, out, parcels);
        self.order(inner, now, parcels);
        told(inner.holder.tick(now));
        self.claim(inner, now, parcels);
        due
    }

    fn claim(&self, inner: &mut Inner, now: Micros, parcels: &mut Vec<Parcel>) {
        let Some(claim) = inner.holder.claim(now) else { return };
        let leads = inner.voter.as_ref().and_then(|v| v.leader().cloned());
        let silent = inner.answered.is_none_or(|at| now.saturating_sub(at) > self.seat.lease / 2);
        let known = leads.or(inner.leader.clone().filter(|_| !silent));
        inner.turn += 1;
        let to = known.unwrap_or_else(|| self.seat.voters[inner.turn % self.seat.voters.len()].clone());
        if to == self.seat.who.id {
            self.take_claim(inner, now, claim, parcels);
        } else {
            parcels.push(self.parcel(to, Note::Claim(claim)));
        }
    }

    /// Orders what the leader's keeper wants, a bounded number at a time.
    fn order(&self, inner: &mut Inner, now: Micros, parcels: &mut Vec<Parcel>) {
        let (Some(voter), Some(keeper)) = (&mut inner.voter, &mut inner.keeper) else { return };
        let changes: Vec<Change> = keeper.changes(now, &inner.replica.machine);
        if changes.is_empty() {
            return;
        }
        inner.seq += 1;
        let order = Order { session: self.seat.who.start, seq: inner.seq, body: body(&changes) };
        let mut out = Vec::new();
        if voter.order(order, &mut out).is_err() {
            keeper.ordered_in_vain(&changes);
        }
        self.carry_out(inner, now, out, parcels);
    }

    /// The disk's word.
    pub fn written(&self, now: Micros, word: Word, parcels: &mut Vec<Parcel>) {
        let inner = &mut *self.inner.borrow_mut();
        let Some(voter) = &mut inner.voter else { return };
        let mut out = Vec::new();
        match word {
            Word::Done(number) => voter.written(now, number, &mut out),
            Word::Failed(trouble) => {
                tracing::error!(target: "fleet", trouble, "this voter is read-only");
                inner.trouble = Some(trouble);
                voter.disk_failed(&mut out);
            }
        }
        self.carry_out(inner, now, out, parcels);
    }

    /// Takes a parcel.
    pub fn take(&self, now: Micros, parcel: Parcel, parcels: &mut Vec<Parcel>) {
        if parcel.to != self.seat.who.id {
            return;
        }
        let inner = &mut *self.inner.borrow_mut();
        match parcel.note {
            Note::Letter(letter) if letter.from == parcel.from => {
                let Some(voter) = &mut inner.voter else { return };
                let mut out = Vec::new();
                voter.take(now, *letter, &mut out);
                self.carry_out(inner, now, out, parcels);
            }
            Note::Claim(claim) if claim.who.id == parcel.from => self.take_claim(inner, now, claim, parcels),
            Note::Claimed(claimed) => {
                (inner.leader, inner.answered) = (Some(parcel.from), Some(now));
                told(inner.holder.claimed(now, claimed));
            }
            Note::Elsewhere { leader, .. } => {
                inner.leader = leader;
                inner.holder.asks_again(now);
            }
            // One that speaks for another.
            Note::Letter(_) | Note::Claim(_) => {}
        }
    }

    fn take_claim(&self, inner: &mut Inner, now: Micros, claim: Claim, parcels: &mut Vec<Parcel>) {
        let mut out = Vec::new();
        let leads = match (&mut inner.voter, &mut inner.keeper) {
            (Some(voter), Some(keeper)) if inner.claims.len() < CLAIMS_MOST => {
                keeper.claim(now, &claim, &inner.replica.machine);
                inner.ticket += 1;
                voter.confirm(inner.ticket, &mut out)
            }
            _ => false,
        };
        if leads {
            inner.claims.insert(inner.ticket, claim);
        } else {
            self.elsewhere(inner, now, claim, parcels);
        }
        self.carry_out(inner, now, out, parcels);
    }

    fn elsewhere(&self, inner: &mut Inner, now: Micros, claim: Claim, parcels: &mut Vec<Parcel>) {
        let leader = inner.voter.as_ref().and_then(|v| v.leader().cloned());
        if claim.who.id == self.seat.who.id {
            return inner.holder.asks_again(now);
        }
        // One that leads and does not know yet what is committed sends nobody to itself.
        let leader = leader.filter(|l| *l != self.seat.who.id);
        parcels.push(self.parcel(claim.who.id, Note::Elsewhere { number: claim.number, leader }));
    }

    fn carry_out(&self, inner: &mut Inner, now: Micros, out: Vec<Out>, parcels: &mut Vec<Parcel>) {
        let mut out = VecDeque::from(out);
        while let Some(next) = out.pop_front() {
            let mut more = Vec::new();
            match next {
                Out::Write(number, records) => {
                    if inner.store.as_ref().is_none_or(|store| !store.write(number, records))
                        && let Some(voter) = &mut inner.voter
                    {
                        inner
                            .trouble
                            .get_or_insert("writes pile up at the disk, or it has failed; start anew".into());
                        voter.disk_failed(&mut more);
                    }
                }
                Out::Send(letter) => {
                    parcels.push(self.parcel(letter.to.clone(), Note::Letter(Box::new(letter))));
                }
                Out::Apply(index, entry) => {
                    inner.replica.apply(index, &entry);
                    remember(&mut inner.lines, index, &entry);
                }
                Out::Restore(index, state) => match Replica::restored(&state) {
                    Some(replica) => inner.replica = replica,
                    None => {
                        tracing::error!(target: "invariant", index, "a snapshot of the fleet's log does not read")
                    }
                },
                Out::Confirmed(ticket) => {
                    let (Some(claim), Some(keeper)) = (inner.claims.remove(&ticket), &mut inner.keeper)
                    else {
                        continue;
                    };
                    let claimed = keeper.confirmed(now, &claim, &inner.replica.machine);
                    if claim.who.id == self.seat.who.id {
                        inner.answered = Some(now);
                        told(inner.holder.claimed(now, claimed));
                    } else {
                        parcels.push(self.parcel(claim.who.id, Note::Claimed(claimed)));
                    }
                }
                Out::Unconfirmed(ticket) => {
                    if let Some(claim) = inner.claims.remove(&ticket) {
                        self.elsewhere(inner, now, claim, parcels);
                    }
                }
                Out::Compact => {
                    if let Some(voter) = &mut inner.voter {
                        voter.compact(inner.replica.applied, inner.replica.state(), &mut more);
                    }
                }
                Out::Event(event) => self.happened(inner, now, event),
            }
            for next in more.into_iter().rev() {
                out.push_front(next);
            }
        }
    }

    fn happened(&self, inner: &mut Inner, now: Micros, event: Event) {
        match event {
            Event::Leads(term) => {
                inner.keeper = Some(Keeper::new(now, self.seat.lease));
                tracing::info!(target: "fleet", term, "leads the fleet's log");
            }
            Event::StepsDown => {
                inner.keeper = None;
                tracing::info!(target: "fleet", "leads no more");
            }
            Event::Follows(leader, term) => tracing::info!(target: "fleet", %leader, term, "follows"),
            Event::Entered => tracing::info!(target: "fleet", "was taken in by the voters"),
            Event::Forgot(by, there, here) => tracing::error!(
                target: "fleet", %by, term = there.term, index = there.index, own_term = here.term, own_index = here.index,
                "this voter's disk has forgotten what it had promised: amnesiac until it has caught up"
            ),
            Event::Twin(life) => {
                tracing::error!(target: "fleet", start = life.number, "another process votes under this id, or did a moment ago");
            }
        }
    }

    /// What staff read of it.
    pub fn shown(&self, now: Micros) -> status::Council {
        let inner = self.inner.borrow();
        let voter = inner.voter.as_ref().map(|v| status::Voter {
            role: match v.role() {
                Role::Leader => "leader",
                Role::Candidate | Role::Asking => "candidate",
                Role::Follower => "follower",
            }
            .to_string(),
            term: v.term(),
            leader: v.leader().map(ToString::to_string),
            standing: v.standing().name().to_string(),
            committed: v.indices().0,
            trouble: inner.trouble.clone(),
        });
        let voter = voter.or_else(|| {
            inner.trouble.clone().map(|trouble| status::Voter {
                role: "follower".into(),
                term: 0,
                leader: None,
                standing: "read-only".into(),
                committed: 0,
                trouble: Some(trouble),
            })
        });
        let near = inner.answered.is_some_and(|at| now.saturating_sub(at) < self.seat.lease);
        let majority = inner.voter.as_ref().map_or(near, |v| v.sees_majority(now));
        let mine: HashMap<&Work, u64> = inner.holder.all(now).collect();
        let known: BTreeMap<Work, (Option<String>, u64)> = inner
            .replica
            .machine
            .all()
            .map(|(work, grant)| {
                (work.clone(), (grant.owner.as_ref().map(|o| o.id.to_string()), grant.token))
            })
            .collect();
        let mut owners: Vec<status::Owner> = known
            .into_iter()
            .map(|(work, (owner, token))| status::Owner {
                mine: mine.get(&work) == Some(&token),
                work: work.to_string(),
                owner,
                token,
            })
            .collect();
        if inner.voter.is_none() {
            owners = mine
                .into_iter()
                .map(|(work, token)| status::Owner {
                    work: work.to_string(),
                    owner: Some(self.seat.who.id.to_string()),
                    token,
                    mine: true,
                })
                .collect();
        }
        status::Council { majority, voter, owners }
    }

    /// What was decided of late, the oldest first.
    pub fn lines(&self) -> Vec<status::Line> {
        self.inner.borrow().lines.iter().cloned().collect()
    }
}

/// Logs what changed for this member.
fn told(turns: Vec<Turn>) {
    for turn in turns {
        match turn {
            Turn::Mine(work, token) => tracing::info!(target: "fleet", %work, token, "owns"),
            Turn::Lost(work, token) => tracing::info!(target: "fleet", %work, token, "owns no more"),
        }
    }
}

fn remember(lines: &mut VecDeque<status::Line>, index: u64, entry: &Entry) {
    let Some(order) = &entry.order else { return };
    for change in postcard::from_bytes::<Vec<Change>>(&order.body).unwrap_or_default() {
        if lines.len() >= LINES_MOST {
            lines.pop_front();
        }
        lines.push_back(status::Line {
            index,
            term: entry.term,
            work: change.work.to_string(),
            after: change.after,
            owner: change.to.map(|who| who.id.to_string()),
        });
    }
}
