//! Whether the shard is still granted to this owner, and handing it on: it claims
//! nothing more, and what is under way settles.

use super::Core;
use crate::scheduler::Sent;
use crate::state::record::{shard_key, GRANT};
use crate::state::view::View;
use crate::types::{TaskId, Time};

/// For so long commands may settle before a shard is handed on, in seconds: an
/// unanswered one is in doubt for the next owner, as after any takeover.
const SETTLE_S: f64 = 1.0;

/// Since when the shard is frozen for its handover.
#[derive(Default)]
pub(super) struct HandoverFreeze {
    since: Option<Time>,
}

impl HandoverFreeze {
    /// Freezes the shard. False if it was frozen before.
    fn begin(&mut self, now: Time) -> bool {
        let begins = self.since.is_none();
        self.since.get_or_insert(now);
        begins
    }

    /// Ends it. False if the shard was not frozen.
    fn end(&mut self) -> bool {
        self.since.take().is_some()
    }

    /// Whether the shard is frozen.
    fn is_on(&self) -> bool {
        self.since.is_some()
    }

    /// Whether it began less than so many seconds ago.
    fn is_younger_than(&self, age_s: f64, now: Time) -> bool {
        self.since.is_some_and(|t| now.since(t) < age_s)
    }
}

impl Core {
    /// The key of this shard's grant.
    pub(super) fn grant_key(&self) -> String {
        if self.scope.is_part() {
            shard_key(self.scope.shard)
        } else {
            GRANT.into()
        }
    }

    /// Whether the shard is still granted to this owner. An offer changes the
    /// record, and not the grant.
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

    /// Claims nothing more; what is under way settles. Claims that still wait to
    /// be recorded are dropped: nothing was sent for them, and with changes short
    /// they would keep the shard frozen for seconds.
    pub fn freeze(&mut self, now: Time) {
        if !self.freeze.begin(now) {
            return;
        }
        tracing::info!(shard = %self.scope.shard, "shard frozen for handover");
        for task in self.unsent_claims() {
            self.release(&task, now);
        }
    }

    /// Tasks whose claims still wait to be recorded, and of which nothing was sent.
    fn unsent_claims(&self) -> Vec<TaskId> {
        let mut unsent = Vec::new();
        for (id, job) in self.cluster_state.jobs() {
            for (&index, claim) in job.tasks.claims() {
                let task = TaskId {
                    job: id.clone(),
                    index,
                };
                let waits = self.pending.claims(&self.chunk_of(&task));
                if !claim.committed && claim.sent == Sent::No && waits {
                    unsent.push(task);
                }
            }
        }
        unsent
    }

    /// The offer was taken back.
    pub fn thaw(&mut self) {
        if self.freeze.end() {
            tracing::info!(shard = %self.scope.shard, "shard handover withdrawn");
            self.placement_queue.request_full_walk();
        }
    }

    /// Whether it is frozen.
    pub fn is_frozen(&self) -> bool {
        self.freeze.is_on()
    }

    /// Whether what is under way has settled: what was claimed is recorded, and
    /// no command is unanswered, or it has taken long enough. Results that wait
    /// to be recorded are not waited for: workers repeat them to the next owner.
    pub fn settled(&self, now: Time) -> bool {
        let patient = self.freeze.is_younger_than(SETTLE_S, now);
        !(self.pending.claims_any() || patient && self.command_queue.awaits_answers())
    }
}
