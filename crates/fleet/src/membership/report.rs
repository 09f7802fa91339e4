//! Queries on the membership, for operators, the runtime and the slow-start budget.

use super::*;

impl Membership {
    /// Whether there has been no suspect and no change for three periods. A process that has not heard from another
    /// member must also have been running long enough to do so.
    pub fn is_settled(&self, now: Micros) -> bool {
        let is_unchanged = now.saturating_sub(self.changed_at) >= self.config.period * SETTLED_PERIODS;
        let had_time_to_join = now.saturating_sub(self.started) >= self.config.period * SETTLED_PERIODS * 2;
        self.is_active()
            && is_unchanged
            && self.table.suspect_ids.is_empty()
            && (self.has_joined || had_time_to_join)
    }

    /// A member's address, from its own information.
    pub fn address_of(&self, id: &MemberId) -> Option<SocketAddr> {
        self.table.get(id).map(|entry| entry.record.info.address)
    }

    /// Whether this is this member's id.
    pub fn is_own_id(&self, id: &MemberId) -> bool {
        self.config.id == *id
    }

    /// Whether another member has been heard from since the start.
    pub fn has_joined(&self) -> bool {
        self.has_joined
    }

    /// The other process under this id, if one is known to be running.
    pub fn duplicate(&self) -> Option<DuplicateProcess> {
        self.duplicate
    }

    /// Whether this process has yielded to a newer start under its id.
    pub fn is_standby(&self) -> bool {
        self.is_standby
    }

    /// Numbers of frames dropped by the membership.
    pub fn drop_counters(&self) -> DropCounters {
        self.drop_counters
    }

    /// Number of live members, including this one, and number of members that are down.
    pub fn member_counts(&self) -> (usize, usize) {
        let down = self.table.entries.values().filter(|e| e.state() == MemberState::Down).count();
        (self.table.live + usize::from(self.is_active()), down)
    }

    /// All members including this one, sorted by id.
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

    /// Ids of all live members including this one, sorted.
    pub fn live_members(&self) -> Vec<MemberId> {
        let others = self.table.entries.iter().filter(|(_, e)| e.state().is_live()).map(|(id, _)| id.clone());
        let mut all: Vec<MemberId> = others.chain(self.is_active().then(|| self.config.id.clone())).collect();
        all.sort();
        all
    }
}
