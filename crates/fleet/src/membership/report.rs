//! What the membership reports: to operators, to the runtime, and to those who divide budgets by it.

use super::*;

impl Membership {
    /// Whether there is no suspect, and no change for three periods; for one that has never heard another, not before it could have.
    pub fn is_settled(&self, now: Micros) -> bool {
        let quiet = now.saturating_sub(self.changed_at) >= self.config.period * SETTLED_PERIODS;
        let alone_long = now.saturating_sub(self.started) >= self.config.period * SETTLED_PERIODS * 2;
        self.is_active() && quiet && self.table.suspect_ids.is_empty() && (self.has_joined || alone_long)
    }

    /// Where a member is reached, by its own information.
    pub fn address_of(&self, id: &MemberId) -> Option<SocketAddr> {
        self.table.get(id).map(|entry| entry.record.info.address)
    }

    /// Whether this is this member's id.
    pub fn is_own_id(&self, id: &MemberId) -> bool {
        self.config.id == *id
    }

    /// Whether another member was heard since the start.
    pub fn has_joined(&self) -> bool {
        self.has_joined
    }

    /// The other process under this id, if one is known to be alive.
    pub fn duplicate(&self) -> Option<DuplicateProcess> {
        self.duplicate
    }

    /// Whether this process has yielded to a newer start under its id.
    pub fn is_standby(&self) -> bool {
        self.is_standby
    }

    /// Frames that were dropped here.
    pub fn drop_counters(&self) -> DropCounters {
        self.drop_counters
    }

    /// Members that are live, this one included, and those that are down.
    pub fn member_counts(&self) -> (usize, usize) {
        let down = self.table.entries.values().filter(|e| e.state() == MemberState::Down).count();
        (self.table.live + usize::from(self.is_active()), down)
    }

    /// All members, by id, this one among them.
    pub fn members(&self, now: Micros) -> Vec<MemberReport> {
        let me = self.own_record(now);
        let me = MemberReport {
            id: me.id,
            state: me.state_version.state,
            generation: me.state_version.incarnation.generation,
            last_heard_age: None,
            reported_by: None,
            info: me.info,
        };
        let others = self.table.entries.iter().map(|(id, e)| MemberReport {
            id: id.clone(),
            state: e.state(),
            generation: e.record.state_version.incarnation.generation,
            last_heard_age: e.last_heard.map(|at| now.saturating_sub(at)),
            reported_by: e.record.reported_by.clone(),
            info: e.record.info.clone(),
        });
        let mut all: Vec<MemberReport> = others.chain([me]).collect();
        all.sort_by(|a, b| a.id.cmp(&b.id));
        all
    }

    /// Ids of the live ones, by id, this one among them.
    pub fn live_members(&self) -> Vec<MemberId> {
        let others = self.table.entries.iter().filter(|(_, e)| e.state().is_live()).map(|(id, _)| id.clone());
        let mut all: Vec<MemberId> = others.chain(self.is_active().then(|| self.config.id.clone())).collect();
        all.sort();
        all
    }
}
