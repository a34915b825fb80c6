//! What moves on purpose: drains, repair, and gangs that start anew.

use std::collections::BTreeMap;
use std::rc::Rc;

use sorrelhinge_topology::drain::{Drain, Progress as Drained};
use sorrelhinge_topology::{repair, Topology};

use super::Core;
use crate::scheduler::{ActiveDrain, Moving};
use crate::state::view::View;
use crate::types::{Kind, MachineId, Time};

/// How often a job that waits is spoken of in the log, in seconds.
const LOG_INTERVAL_S: f64 = 60.0;
/// A job that waits is spoken of only after this long, in seconds.
const LOG_AFTER_S: f64 = 15.0;

impl Core {
    /// The operator's file changed. Running tasks stay; what they hold is held
    /// until they are gone.
    pub fn set_topology(&mut self, topology: Option<Rc<Topology>>, now: Time) {
        let agents = &self.agents;
        self.cluster_state
            .set_topology(topology, |id| agents.get(id).map(|l| l.addr.ip()));
        self.refresh_drains(now);
        self.walk_all = true;
    }

    /// Drains as recorded now.
    pub fn set_drains(&mut self, view: &View, now: Time) {
        // Asked at every change of the view: nothing is copied unless it is news.
        let recorded = || view.drains.values().map(|d| &d.value);
        if !recorded().eq(&self.drains) {
            self.drains = recorded().cloned().collect();
            self.refresh_drains(now);
        }
    }

    /// The time of day in milliseconds, by the clock that was read at the start.
    pub(super) fn wall_ms(&self, now: Time) -> u64 {
        self.failover.wall_ms(now)
    }

    /// Which machines are drained now: their place, or the drains, may have
    /// changed. An empty one is given back, unless it is to be kept.
    pub(super) fn refresh_drains(&mut self, now: Time) {
        if self.drains.is_empty() && !self.cluster_state.machines().values().any(|m| m.draining) {
            return;
        }
        let mut covered: BTreeMap<MachineId, bool> = BTreeMap::new();
        for drain in &self.drains {
            for id in self.cluster_state.drained(drain) {
                *covered.entry(id.clone()).or_insert(false) |= drain.keep;
            }
        }
        let ids: Vec<MachineId> = self.agents.keys().cloned().collect();
        for id in ids {
            let keep = covered.get(&id).copied();
            let draining = keep.is_some();
            let machine = self.cluster_state.machines().get(&id);
            let was = machine.is_some_and(|m| m.draining);
            let empty = machine.is_some_and(|m| m.claims.is_empty());
            if was != draining {
                self.cluster_state
                    .edit_machine(&id, |m| m.draining = draining);
                tracing::info!(machine = %id, draining, "drain");
                self.refresh_machine(&id, now);
            }
            if keep == Some(false) && empty {
                if let Some(agent) = self.agents.get_mut(&id) {
                    agent.leaving = true;
                }
            }
        }
    }

    /// Moves tasks off draining machines, and now and then one task of a
    /// service that has too many in a domain.
    pub(super) fn continue_moves(&mut self, now: Time) {
        let Some(topology) = self.cluster_state.topology().cloned() else {
            return;
        };
        let wall = self.wall_ms(now);
        let drains: Vec<ActiveDrain> = self
            .drains
            .iter()
            .map(|drain| ActiveDrain {
                drain: drain.clone(),
                left_s: drain.left_s(wall),
            })
            .collect();
        let moving = Moving {
            drains: &drains,
            stability: self.topology_history.losses(),
        };
        let mut moves = if drains.is_empty() {
            Vec::new()
        } else {
            self.cluster_state.drain(&moving, now)
        };
        let repair_settings = &topology.settings.repair;
        if repair::due(self.last_repair, repair_settings.every_s, now) {
            self.last_repair = Some(now);
            moves.extend(self.cluster_state.repair(&moving, now));
            self.topology_history.tidy(&topology.settings, now);
        }
        for m in moves {
            let to = m.to.as_ref().map_or("-", |id| id.as_str());
            tracing::info!(task = %m.task, to, "moved");
            self.settle_stopped(&m.task.job, now);
        }
        self.log_waiting_jobs(now);
    }

    /// Says in the log why jobs wait, each once a minute.
    fn log_waiting_jobs(&mut self, now: Time) {
        self.told.retain(|_, at| now.since(*at) < LOG_INTERVAL_S);
        let waiting = self.cluster_state.jobs_to_place().find(|(id, job)| {
            let long = job
                .blocked_since
                .is_some_and(|t| now.since(t) > LOG_AFTER_S);
            let asks = !job.policy.is_empty() || job.spec.kind == Kind::Gang;
            long && asks && !self.told.contains_key(*id)
        });
        let Some(id) = waiting.map(|(id, _)| id.clone()) else {
            return;
        };
        if let Some(why) = self.cluster_state.why_waits(&id, now) {
            let why = why.to_string();
            tracing::info!(job = %id, why, "waits");
        }
        self.told.insert(id, now);
    }

    /// A gang runs as one: if a task of it is gone before it was done, the
    /// others are stopped, and it is placed anew once they are gone too.
    pub(super) fn restart_broken_gangs(&mut self, now: Time) {
        for id in std::mem::take(&mut self.gangs) {
            let broken = self.cluster_state.job(&id).is_some_and(|j| {
                j.spec.kind == Kind::Gang
                    && !j.cancelled
                    && j.tasks.pending() > 0
                    && !j.tasks.claims().is_empty()
            });
            if broken && !self.cluster_state.stop_gang(&id).is_empty() {
                tracing::info!(job = %id, "gang lost a task; restarting it");
                self.settle_stopped(&id, now);
            }
        }
    }

    /// How far a drain is.
    pub fn drained(&self, drain: &Drain) -> Drained {
        let mut progress = Drained::default();
        for id in self.cluster_state.drained(drain) {
            let claims = self.cluster_state.claims_on(id);
            let stopping = claims.iter().filter(|t| {
                let claim = self.cluster_state.claim_of(t);
                claim.is_some_and(|c| c.stop.is_some())
            });
            progress.machines += 1;
            progress.empty += u32::from(claims.is_empty());
            progress.stopping += stopping.count() as u32;
            progress.tasks += claims.len() as u32;
        }
        progress
    }
}
