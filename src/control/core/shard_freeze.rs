//! Checks that this owner still holds the shard's grant, and the freeze of a shard before its
//! handover. A frozen shard claims no tasks. The handover waits for its commands and writes in
//! flight.

use super::Core;
use crate::scheduler::Sent;
use crate::state::record::{shard_key, GRANT};
use crate::state::view::View;
use crate::types::{TaskId, Time};

/// Longest time in seconds that a handover waits for unanswered commands. The next owner does not
/// know the outcome of such a command, as after any takeover.
const SETTLE_TIMEOUT_S: f64 = 1.0;

/// Time at which the shard was frozen for its handover, if it is frozen.
#[derive(Default)]
pub(super) struct HandoverFreeze {
    since: Option<Time>,
}

impl HandoverFreeze {
    /// Freezes the shard. Returns false if the shard was already frozen.
    fn begin(&mut self, now: Time) -> bool {
        let newly_frozen = self.since.is_none();
        self.since.get_or_insert(now);
        newly_frozen
    }

    /// Ends the freeze. Returns false if the shard was not frozen.
    fn end(&mut self) -> bool {
        self.since.take().is_some()
    }

    /// Returns whether the shard is frozen.
    fn is_on(&self) -> bool {
        self.since.is_some()
    }

    /// Returns whether the freeze began less than `age_s` seconds ago.
    fn is_younger_than(&self, age_s: f64, now: Time) -> bool {
        self.since.is_some_and(|t| now.since(t) < age_s)
    }
}

impl Core {
    /// Returns the key of this shard's grant.
    pub(super) fn grant_key(&self) -> String {
        if self.scope.is_part() {
            shard_key(self.scope.shard)
        } else {
            GRANT.into()
        }
    }

    /// Returns whether this owner still holds the grant. The offer of a handover changes the
    /// grant's record, but not the grant.
    pub fn still_granted(&mut self, view: &View) -> bool {
        if !self.scope.is_part() {
            return view.shard_count() == 1 && view.grant.mod_revision == self.grant_revision;
        }
        let granted = view.shards.get(&self.scope.shard);
        match granted.filter(|b| b.value.number == self.grant && b.value.owner == self.cfg.node) {
            Some(granted) if view.shard_count() == self.scope.of => {
                self.grant_revision = granted.mod_revision;
                true
            }
            _ => false,
        }
    }

    /// Freezes the shard before a handover, so that it claims no more tasks. Claims that still
    /// wait to be recorded are released, because no command was sent for them. Otherwise they
    /// would keep the shard frozen for seconds while the state service takes few changes.
    pub fn freeze(&mut self, now: Time) {
        if !self.freeze.begin(now) {
            return;
        }
        tracing::info!(shard = %self.scope.shard, "shard frozen for handover");
        for task in self.unsent_claims() {
            self.release(&task, now);
        }
    }

    /// Returns tasks whose claims still wait to be recorded and for which no command was sent.
    fn unsent_claims(&self) -> Vec<TaskId> {
        let mut unsent = Vec::new();
        for (id, job) in self.cluster_state.jobs() {
            for (&index, claim) in job.tasks.claims() {
                let task = TaskId {
                    job: id.clone(),
                    index,
                };
                let waits = self.write_queue.claims(&self.chunk_of(&task));
                if !claim.committed && claim.sent == Sent::No && waits {
                    unsent.push(task);
                }
            }
        }
        unsent
    }

    /// Ends the freeze after the handover was withdrawn.
    pub fn unfreeze(&mut self) {
        if self.freeze.end() {
            tracing::info!(shard = %self.scope.shard, "shard handover withdrawn");
            self.placement_queue.request_full_walk();
        }
    }

    /// Returns whether the shard is frozen for a handover.
    pub fn is_frozen(&self) -> bool {
        self.freeze.is_on()
    }

    /// Returns whether the shard has settled: all claims are recorded, and no command is
    /// unanswered or the time limit for answers has passed. Results that wait to be recorded
    /// don't delay the handover, because workers repeat them to the next owner.
    pub fn settled(&self, now: Time) -> bool {
        let within_timeout = self.freeze.is_younger_than(SETTLE_TIMEOUT_S, now);
        !(self.write_queue.has_claims() || within_timeout && self.command_queue.awaits_answers())
    }
}
