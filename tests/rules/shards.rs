//! Shards leave tasks to each other, and parts of a limit move.

use rand::Rng;
use serde_json::json;
use sorrelhinge::state::record::SliceRecord;
use sorrelhinge::types::{Amount, Time, Zone};
use sorrelhinge_sharding::shard::ShardId;

use crate::*;

impl World {
    /// Shards leave tasks to each other, and parts of a limit move. Messages are
    /// lost; an answer may be, though the transaction was carried out.
    pub(crate) fn between_shards(&mut self) {
        for w in &self.workers {
            if self.rng.random_bool(0.3) {
                let zone = Zone::from(w.zone);
                self.machine_zones
                    .borrow_mut()
                    .insert(w.id.as_str().into(), zone);
            }
        }
        for at in 0..self.owners.len() {
            let now = Time(self.now);
            for other in 0..self.of {
                let free_capacity = self.rng.random_range(0..9) * 1000;
                self.owners[at]
                    .core
                    .has_capacity(ShardId(other), free_capacity, now);
            }
            let o = &mut self.owners[at];
            o.core.refresh_from_view(&o.view);
            for left in o.core.delegate_tasks_out(&o.view, now) {
                let text = left.encode().expect("a short name");
                self.trace.fold_json("left to a block", &text);
                let taker = self
                    .owners
                    .iter()
                    .rposition(|t| t.core.scope.shard == left.shard);
                if let Some(taker) = taker.filter(|t| *t != at && self.rng.random_bool(0.8)) {
                    let t = &mut self.owners[taker];
                    t.core.adopt_delegated_tasks(&t.view, &left, now, 0);
                }
            }
            self.give(at);
        }
    }

    pub(crate) fn give(&mut self, at: usize) {
        let o = &mut self.owners[at];
        let me = o.core.scope.shard;
        let key = |b: ShardId| format!("h/slice/{}", b.0);
        if o.gift.is_none() && self.rng.random_bool(0.1) {
            let to = ShardId(self.rng.random_range(0..self.of));
            let (Some(mine), Some(theirs)) = (o.view.slices.get(&me), o.view.slices.get(&to))
            else {
                return;
            };
            let part = |s: &SliceRecord| s.teams[0].cpu;
            let used = o.core.needs()[0].used.cpu;
            let max = part(&mine.value) - used;
            // One that knows it is deposed gives nothing.
            let granted = o.view.shards[&me].value.number == o.core.grant;
            if to == me || max < 1000 || !granted {
                return;
            }
            let give = self.rng.random_range(500..=max);
            let changed = |s: &SliceRecord, by: i64| {
                let mut s = s.clone();
                s.teams[0].cpu += by;
                serde_json::to_value(s).expect("record")
            };
            let shard = format!("h/block/{}", me.0);
            let grant = o.view.shards[&me].mod_revision;
            let transaction = json!({"when": [{"key": shard, "stamp": grant},
                    {"key": key(me), "stamp": mine.mod_revision}, {"key": key(to), "stamp": theirs.mod_revision}],
                "apply": [{"write": key(me), "value": changed(&mine.value, -give)},
                    {"write": key(to), "value": changed(&theirs.value, give)}]});
            let amount = |cpu| Amount {
                cpu,
                gpu: 0,
                ram: 0,
            };
            o.core
                .reserve_outgoing_quota(vec![amount(give), amount(0)], &o.view);
            self.trace.fold_json("part of a limit", &transaction);
            o.gift = Some((transaction, give));
        }
        let o = &mut self.owners[at];
        let Some((transaction, _)) = o.gift.clone() else {
            return;
        };
        match self.rng.random_range(0..4) {
            0 => {}
            1 => {
                self.store.transact(&transaction);
            }
            _ => {
                // Carried out now, or before, or never: the view tells.
                self.store.transact(&transaction);
                self.store.follow(&mut o.view);
                let changed = o.view.take_changed();
                o.core.jobs_changed(&o.view, &changed, Time(self.now), 0);
                o.core.reserve_outgoing_quota(Vec::new(), &o.view);
                o.gift = None;
            }
        }
    }
}
