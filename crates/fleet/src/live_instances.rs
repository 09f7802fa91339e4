//! By how many gatekeepers a slow-start budget is divided, from what the membership says. Rises at once; falls only after the settling
//! bound; never under the floor while a part of the fleet is unseen.
//!
//! Each gatekeeper sends at most its part, the budget over this number. With a floor of the fleet's true size, two halves of a
//! partitioned fleet each go on dividing by the whole, so all parts together never exceed the budget; with a floor that is too
//! small by a factor, they exceed it by that factor at most.

use crate::Micros;

/// What the membership says at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipSummary {
    /// Members that are alive or suspect, this one included.
    pub live: u32,
    /// Members that are down, and neither left nor came back.
    pub down: u32,
    /// No suspect and no change of late.
    pub is_settled: bool,
    /// Another member has been heard since the start.
    pub has_joined: bool,
}

/// The number to divide by, as it changes.
#[derive(Clone, Copy, Debug)]
pub struct LiveInstances {
    floor: u32,
    count: u32,
    /// Since when a lower number would do.
    lower_since: Option<Micros>,
}

impl LiveInstances {
    /// The floor is what the configuration says.
    pub fn new(floor: u32) -> LiveInstances {
        let floor = floor.max(1);
        LiveInstances { floor, count: floor, lower_since: None }
    }

    /// Returns the number to divide by from now on. `bound` is the membership's settling bound at its size now.
    pub fn update(&mut self, now: Micros, bound: Micros, summary: MembershipSummary) -> u32 {
        let wanted = self.wanted(summary);
        if wanted >= self.count {
            self.set(wanted);
        } else if !summary.is_settled {
            self.lower_since = None;
        } else if now.saturating_sub(*self.lower_since.get_or_insert(now)) >= bound {
            self.set(wanted);
        }
        self.count
    }

    /// The number that the membership asks for. Down members may be at work behind a partition, and a process that has heard
    /// nobody yet cannot tell a small fleet from a partition.
    fn wanted(&self, summary: MembershipSummary) -> u32 {
        if summary.down == 0 && summary.has_joined {
            summary.live.max(1)
        } else {
            (summary.live + summary.down).max(self.floor)
        }
    }

    fn set(&mut self, count: u32) {
        self.count = count;
        self.lower_since = None;
    }
}

#[cfg(test)]
mod tests;
