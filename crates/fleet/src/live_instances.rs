//! The number of gatekeepers that a slow-start budget is divided by, derived from the membership. It rises immediately,
//! falls only after the settling bound, and stays at or above the configured floor while any member is down.
//!
//! Each gatekeeper sends at most its share, the budget divided by this number. If the floor equals the true size of the
//! fleet, the sides of a partitioned fleet all keep dividing by the full size, so together they never exceed the
//! budget. If the floor is too small by some factor, they exceed the budget by at most that factor.

use crate::Micros;

/// Summary of the membership at one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipSummary {
    /// Number of members that are alive or suspect, including this one.
    pub live: u32,
    /// Number of members that are down, that is, neither left nor recovered.
    pub down: u32,
    /// Whether there is no suspect and no recent change.
    pub is_settled: bool,
    /// Whether another member has been heard from since the start.
    pub has_joined: bool,
}

/// Computes the number to divide by as the membership changes.
#[derive(Clone, Copy, Debug)]
pub struct LiveInstances {
    floor: u32,
    count: u32,
    /// Since when the membership has allowed a lower number.
    lower_since: Option<Micros>,
}

impl LiveInstances {
    /// Starts at `floor`, the configured size of the fleet.
    pub fn new(floor: u32) -> LiveInstances {
        let floor = floor.max(1);
        LiveInstances { floor, count: floor, lower_since: None }
    }

    /// Returns the number to divide by from now on. `bound` is the membership's settling bound at its current size.
    pub fn update(&mut self, now: Micros, bound: Micros, summary: MembershipSummary) -> u32 {
        let target = self.target(summary);
        if target >= self.count {
            self.set(target);
        } else if !summary.is_settled {
            self.lower_since = None;
        } else if now.saturating_sub(*self.lower_since.get_or_insert(now)) >= bound {
            self.set(target);
        }
        self.count
    }

    /// The number that the membership calls for. Members that are down may be serving on the other side of a partition,
    /// and a process that has not heard from any member cannot distinguish a small fleet from a partition.
    fn target(&self, summary: MembershipSummary) -> u32 {
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
