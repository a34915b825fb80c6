//! Messages between the owners of shards: the use and demand of each shard, tasks delegated to
//! another shard, and rented machines. All of them are hints.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, Instant};

use super::core::MachineOffer;
use super::quota_transfers::QUOTA_TRANSFER_INTERVAL;
use super::{wall_ms, Node};
use crate::peer_link::Kind;
use crate::peer_messages::{DelegatedTasks, Needs, Rented, TeamNeed};
use crate::types::{MachineId, NodeId};

/// Interval at which owners publish the use and demand of their shards.
const NEEDS_INTERVAL: Duration = Duration::from_millis(700);

impl Node {
    /// Returns the other controllers whose versions support several shards.
    pub(super) fn peers_supporting_shards(&self) -> Vec<NodeId> {
        let others = self.cfg.others.iter().map(|other| &other.node);
        let knowing = others.filter(|node| self.peer_statuses.supports_shards(node));
        knowing.cloned().collect()
    }

    /// Publishes the use and demand of the owned shards, delegates tasks to shards with free
    /// capacity, and transfers quota.
    pub(super) async fn publish_demand(self: Rc<Self>) {
        let mut last_transfer = Instant::now();
        loop {
            sleep(NEEDS_INTERVAL).await;
            if self.view_shards() == 1 || self.shards.is_empty() {
                continue;
            }
            self.publish_own_needs();
            self.delegate_tasks();
            if last_transfer.elapsed() >= QUOTA_TRANSFER_INTERVAL {
                last_transfer = Instant::now();
                self.transfer_quotas().await;
            }
        }
    }

    /// Publishes the use and demand of the owned shards to the other controllers.
    fn publish_own_needs(&self) {
        let others = self.peers_supporting_shards();
        for needs in self.own_needs() {
            for other in &others {
                self.peers.share(other, Kind::Needs, needs.encode());
            }
            self.receive_demand(needs);
        }
    }

    /// Returns the use and demand of each owned shard.
    fn own_needs(&self) -> Vec<Needs> {
        let cores = self.shards.owned();
        let needs = cores.iter().map(|(shard, c)| {
            let teams = self.cfg.teams.iter().map(|t| t.name.to_string());
            let teams = teams.zip(c.needs());
            Needs {
                shard: *shard,
                machines: c.machine_count() as u32,
                spare_cpu: c.spare_cpu(),
                teams: teams.map(|(team, need)| TeamNeed { team, need }).collect(),
            }
        });
        needs.collect()
    }

    /// Delegates tasks to shards that have free capacity.
    fn delegate_tasks(&self) {
        let now = self.now();
        let mut delegated = Vec::new();
        for c in self.shards.owned_mut().values_mut() {
            delegated.extend(c.delegate_tasks_out(&self.store.view(), now));
        }
        for tasks in delegated {
            match self.owner_of(tasks.shard) {
                Some(owner) if owner == self.cfg.node => self.receive_delegated_tasks(&tasks),
                Some(owner) => {
                    if let Some(text) = tasks.encode() {
                        self.peers.share(&owner, Kind::Left, text);
                    }
                }
                None => {}
            }
        }
    }

    /// Records the use and demand that a shard's owner published.
    fn receive_demand(&self, needs: Needs) {
        let now = self.now();
        for (shard, c) in self.shards.owned_mut().iter_mut() {
            if *shard != needs.shard {
                c.has_capacity(needs.shard, needs.spare_cpu, now);
            }
        }
        self.shards.record_needs(needs);
    }

    /// Adopts tasks that another shard delegated to an owned one.
    fn receive_delegated_tasks(&self, delegated: &DelegatedTasks) {
        let now = self.now();
        if let Some(c) = self.shards.owned_mut().get_mut(delegated.shard) {
            c.adopt_delegated_tasks(&self.store.view(), delegated, now, wall_ms());
        }
        self.wakeups.wake_owner();
    }

    /// Handles a message that another owner published. The content may be wrong or late.
    pub fn receive_peer_message(&self, kind: Kind, text: &[u8]) {
        match kind {
            Kind::Needs => {
                if let Some(needs) = Needs::parse(text) {
                    self.receive_demand(needs);
                }
            }
            Kind::Left => {
                if let Some(delegated) = DelegatedTasks::parse(text) {
                    self.receive_delegated_tasks(&delegated);
                }
            }
            Kind::Rented => {
                if let Some(rented) = Rented::parse(text) {
                    self.receive_rented_machines(&rented);
                }
            }
            _ => {}
        }
    }

    /// Records the zones of rented machines, and lets each owned shard expect the machines that
    /// may belong to it.
    fn receive_rented_machines(&self, rented: &Rented) {
        let now = self.now();
        let offer = MachineOffer {
            kind: rented.kind.clone(),
            zone: rented.zone.clone(),
            spot: rented.spot,
        };
        let zones = rented.machines.iter();
        let zones = zones.map(|m| (m.clone(), rented.zone.clone()));
        self.shards.learn_zones(zones);
        for c in self.shards.owned_mut().values_mut() {
            for machine in &rented.machines {
                c.expect_machine(machine, &offer, now);
            }
        }
    }

    /// Announces rented machines to the owners of the other shards.
    pub(super) fn announce_rented_machines(
        &self,
        rental: &crate::cloud::Rental,
        machines: &[MachineId],
    ) {
        if self.view_shards() == 1 {
            return;
        }
        let rented = Rented {
            kind: rental.machine_type.clone(),
            zone: rental.zone.clone(),
            spot: rental.spot,
            machines: machines.to_vec(),
        };
        let Some(text) = rented.encode() else { return };
        self.receive_peer_message(Kind::Rented, &text);
        for other in self.peers_supporting_shards() {
            self.peers.share(&other, Kind::Rented, text.clone());
        }
    }
}
