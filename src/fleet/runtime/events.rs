//! Log lines for the membership's events.

use super::*;

impl LocalMember {
    pub(super) fn log_event(&self, event: Event) {
        match event {
            Event::Joined(id) => tracing::info!(target: "fleet", member = %id, "joined"),
            Event::Suspected(id, by) => tracing::info!(target: "fleet", member = %id, %by, "suspect"),
            Event::Down(id, by) => tracing::warn!(target: "fleet", member = %id, %by, "down"),
            Event::Recovered(id) => tracing::info!(target: "fleet", member = %id, "back"),
            Event::Left(id) => tracing::info!(target: "fleet", member = %id, "left"),
            Event::Refuted => tracing::info!(target: "fleet", "refuted a report that it does not answer"),
            Event::Stalled(missed) => {
                tracing::warn!(
                    target: "fleet", missed_ms = missed / 1000,
                    "missed time: reports no other member until it has recovered"
                );
            }
            Event::DuplicateId(duplicate) => {
                let (address, age_ms) = (duplicate.address, duplicate.uptime / 1000);
                tracing::error!(
                    target: "fleet", id = %self.settings.id, %address, age_ms,
                    "another process runs under this id"
                );
            }
            Event::YieldedToDuplicate(duplicate) => {
                tracing::error!(
                    target: "fleet", id = %self.settings.id, address = %duplicate.address,
                    "the other process is the newer start: this one is in standby until the id is free"
                );
            }
            Event::Resumed => {
                tracing::warn!(target: "fleet", id = %self.settings.id, "the id is free: standby ends")
            }
            Event::Settled(live) => tracing::info!(target: "fleet", live, "settled"),
            Event::TableFull(id) => {
                tracing::warn!(target: "fleet", member = %id, "the table is full: member not added")
            }
        }
    }
}
