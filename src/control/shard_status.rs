//! Status of the shards for operators, and pinning a shard to a controller.

use std::time::Duration;

use sorrelhinge_protocol::operators::{PinAsked, ShardShown, ShardsShown, TeamShown};
use sorrelhinge_sharding::shard::ShardId;

use super::operator_changes::{ChangePlan, RecordWrite};
use super::operator_error::{InvalidRequest, OperatorError};
use super::Node;
use crate::state::record::{shard_key, ShardRecord};
use crate::state::view::{Versioned, View};
use crate::state::Change;
use crate::types::NodeId;

/// Time that one write that pins a shard may wait until the rate limit of the state service allows
/// it.
const PIN_QUEUE_TIMEOUT: Duration = Duration::from_secs(3);

impl Node {
    /// Returns the status of all shards: owners, machines, quotas and moves in flight.
    pub fn show_shards(&self) -> ShardsShown {
        let view = self.store.view();
        let leader = view.leader.value.as_ref().map(|l| l.node.to_string());
        let shards = if view.shard_count() > 1 {
            let shards = view.shards.iter();
            shards
                .map(|(shard, recorded)| self.shown_shard(&view, *shard, &recorded.value))
                .collect()
        } else {
            Vec::new()
        };
        let mut shown = ShardsShown {
            leader: leader.clone(),
            shards,
        };
        if shown.shards.is_empty() {
            shown.shards.push(ShardShown {
                owner: leader.clone(),
                alive: leader.is_some(),
                grant: view.grant.value.number,
                why: "all machines are one block, the leader's".into(),
                ..ShardShown::default()
            });
        }
        shown
    }

    /// Returns the status of one of several shards.
    fn shown_shard(&self, view: &View, shard: ShardId, record: &ShardRecord) -> ShardShown {
        let member = view.members.get(&record.owner);
        let alive = member.is_some_and(|m| m.value.run == record.run);
        let published = self.shards.needs_of(shard);
        let teams = self.cfg.teams.iter().map(|t| {
            let slice = view.slices.get(&shard).map(|s| s.value.of(&t.name));
            let needs = published
                .as_ref()
                .map_or(&[][..], |published| &published.teams);
            let need = needs.iter().find(|of| *of.team == *t.name);
            TeamShown {
                team: t.name.to_string(),
                part_cpus: cpus(slice.unwrap_or_default().cpu),
                used_cpus: need.map(|of| cpus(of.need.used.cpu)),
                waiting_cpus: need.map(|of| cpus(of.need.waits.cpu)),
            }
        });
        ShardShown {
            shard: shard.0,
            owner: Some(record.owner.to_string()),
            alive,
            grant: record.number,
            to: record.to.as_ref().map(|to| to.to_string()),
            pin: record.pin.as_ref().map(|pin| pin.to_string()),
            machines: published.as_ref().map(|n| n.machines),
            why: ownership_reason(record, alive),
            teams: teams.collect(),
        }
    }

    /// Returns the record of one of several shards.
    fn recorded_shard(&self, shard: ShardId) -> Result<Versioned<ShardRecord>, OperatorError> {
        let view = self.store.view();
        let recorded = view.shards.get(&shard).filter(|_| view.shard_count() > 1);
        let shards = view.shard_count();
        let unknown = InvalidRequest::UnknownShard { shard, shards };
        Ok(recorded.cloned().ok_or(unknown)?)
    }

    /// Pins a shard to a controller, or removes the pin. Returns once the pin is recorded. The
    /// leader moves the shard afterwards.
    ///
    /// # Errors
    ///
    /// There is no such shard or controller, or the pin could not be recorded.
    pub async fn pin_shard(&self, asked: &PinAsked) -> Result<(), OperatorError> {
        asked.check().map_err(InvalidRequest::from)?;
        let to = asked.to.as_deref().map(NodeId::from);
        let all = self.cfg.others.iter().map(|o| &o.node);
        if let Some(to) = &to {
            if !all.chain([&self.cfg.node]).any(|n| n == to) {
                return Err(InvalidRequest::UnknownController(to.clone()).into());
            }
        }
        let plan = || self.plan_pin(ShardId(asked.block), to.as_ref());
        // A failure is not logged because the operator receives it as the answer.
        self.change_for_operator(PIN_QUEUE_TIMEOUT, plan, |_| {})
            .await
    }

    /// Returns the write that changes the pin in a shard's record.
    fn plan_pin(
        &self,
        shard: ShardId,
        pin: Option<&NodeId>,
    ) -> Result<ChangePlan<()>, OperatorError> {
        let recorded = self.recorded_shard(shard)?;
        let record = ShardRecord {
            pin: pin.cloned(),
            ..recorded.value
        };
        let key = shard_key(shard);
        let write = RecordWrite {
            key: key.clone(),
            mod_revision: recorded.mod_revision,
            change: Change::write(key, &record, None),
        };
        Ok(ChangePlan::Write { write, outcome: () })
    }
}

/// Converts thousandths of a CPU to CPUs.
fn cpus(milli: i64) -> f64 {
    milli as f64 / 1000.0
}

/// Returns the reason, for operators, why a shard belongs to its owner. `alive` tells whether
/// the owner is alive.
fn ownership_reason(record: &ShardRecord, alive: bool) -> String {
    match (&record.pin, &record.to, alive) {
        (_, Some(to), _) => format!("it moves to {to}"),
        (_, None, false) => "its owner is gone: it is granted next".into(),
        (Some(pin), ..) if *pin == record.owner => "an operator pinned it there".into(),
        (Some(pin), ..) => format!("pinned to {pin}, which does not live"),
        _ => "balanced over those who live".into(),
    }
}
