//! What is asked of the cloud: machine types, the list of machines, and scaling out and in.

use std::rc::Rc;
use std::time::Duration;

use sorrelhinge_sharding::shard::ShardId;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::paces::Duty;
use super::Node;
use crate::cloud::{ListedMachine, Rental};
use crate::types::MachineId;

/// How often the fleet is planned.
const AUTOSCALE_INTERVAL: Duration = Duration::from_millis(700);
/// Machines that are read from the list a second.
const MACHINES_LISTED_PER_S: f64 = 350.0;
/// The pause, in seconds, before the first list, and after one that failed.
const LIST_RETRY_S: f64 = 0.5;
/// The shortest pause between two lists, in seconds.
const LIST_PAUSE_LEAST_S: f64 = 1.0;
/// The shortest pause that a late list asks for is no longer than this, in seconds.
const LIST_PAUSE_MAX_S: f64 = 5.0;
/// How often machine types are read: prices change; the rest hardly does.
const TYPES_INTERVAL: Duration = Duration::from_secs(45);
/// The pause after types could not be read, while earlier ones are known.
const TYPES_RETRY_PAUSE: Duration = Duration::from_secs(10);
/// The same while none are known: nothing can be accepted before.
const FIRST_TYPES_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Machines that are given back with one request.
const DELETED_TOGETHER: usize = 100;

impl Node {
    /// Keeps the machine types up to date.
    pub(super) async fn learn_types(self: Rc<Self>) {
        loop {
            match self.cloud.types().await {
                Ok(types) => {
                    for c in self.shards.owned_mut().values_mut() {
                        c.set_types(&types);
                    }
                    self.catalog.set_types(types);
                    sleep(TYPES_INTERVAL).await;
                }
                Err(error) => {
                    tracing::info!(%error, "machine type list failed");
                    let pause = if self.catalog.has_types() {
                        TYPES_RETRY_PAUSE
                    } else {
                        FIRST_TYPES_RETRY_PAUSE
                    };
                    sleep(pause).await;
                }
            }
        }
    }

    /// Reads the machine list. It is late in any case, and longer with more
    /// machines, so then it is read less often.
    pub(super) async fn list_machines(self: Rc<Self>) {
        let least = (self.cfg.list_lag_s / 2.0).clamp(LIST_PAUSE_LEAST_S, LIST_PAUSE_MAX_S);
        let mut pause = LIST_RETRY_S;
        loop {
            sleep(Duration::from_secs_f64(pause)).await;
            pause = LIST_RETRY_S;
            if self.shards.is_empty() {
                continue;
            }
            match self.cloud.list().await {
                Ok(list) => {
                    // Of several owners each reads it, so each less often.
                    let owners = self.owners_of_shards() as f64;
                    pause = least.max(list.len() as f64 / MACHINES_LISTED_PER_S) * owners.sqrt();
                    self.machines_listed(&list);
                    self.drive();
                }
                Err(error) => tracing::info!(%error, "machine list failed"),
            }
        }
    }

    /// Tells each owned shard which of its machines are listed.
    fn machines_listed(&self, list: &[ListedMachine]) {
        let now = self.now();
        if self.view_shards() > 1 {
            let zones = list.iter().map(|m| (m.id.clone(), m.zone.clone()));
            self.shards.learn_listed_zones(list.len(), zones);
        }
        for c in self.shards.owned_mut().values_mut() {
            c.refresh_from_view(&self.store.view());
            let scope = c.scope;
            if scope.is_part() {
                let own = list.iter().filter(|m| scope.covers(&m.id));
                c.listed(&own.cloned().collect::<Vec<_>>(), now);
            } else {
                c.listed(list, now);
            }
        }
    }

    /// Plans the fleet, and rents and gives back by it.
    pub(super) async fn run_autoscaler(self: Rc<Self>) {
        loop {
            sleep(AUTOSCALE_INTERVAL).await;
            // Without the lease another controller may own the shard: its
            // machines would look silent here, and must not be given back.
            if !self.leadership.is_exclusive() {
                continue;
            }
            let now = self.now();
            if !self.paces.due(Duty::Fleet, now) {
                continue;
            }
            let mut to_delete: Vec<MachineId> = Vec::new();
            let mut rentals = Vec::new();
            for (shard, c) in self.shards.owned_mut().iter_mut() {
                let decision = self.timed(Duty::Fleet, || c.fleet(now));
                to_delete.extend(decision.to_delete);
                rentals.extend(decision.scale_out.into_iter().map(|rental| ShardRental {
                    shard: *shard,
                    grant: c.grant,
                    rental,
                }));
            }
            self.mark_for_scale_in(&to_delete).await;
            for rental in rentals {
                spawn_local(self.clone().rent(rental));
            }
        }
    }

    /// Gives machines back to the cloud.
    async fn mark_for_scale_in(self: &Rc<Self>, to_delete: &[MachineId]) {
        for machines in to_delete.chunks(DELETED_TOGETHER) {
            match self.cloud.delete(machines).await {
                Ok(()) => {
                    tracing::info!(?machines, "machines deleted");
                    let now = self.now();
                    for c in self.shards.owned_mut().values_mut() {
                        let own = machines.iter().filter(|m| c.scope.covers(m));
                        c.deleted(&own.cloned().collect::<Vec<_>>(), now);
                    }
                    self.drive();
                }
                Err(error) => tracing::info!(%error, "machine deletion failed"),
            }
        }
    }

    /// Rents machines, and tells all who may own them. The shard that asked learns the
    /// outcome if it is still owned by the same grant.
    async fn rent(self: Rc<Self>, order: ShardRental) {
        let rental = &order.rental;
        let result = match self.cloud.rent(rental).await {
            Ok(machines) => {
                tracing::info!(request_id = rental.request_id, kind = %rental.machine_type, zone = %rental.zone, spot = rental.spot, asked = rental.count, got = machines.len(), "machines rented");
                self.announce_rented_machines(rental, &machines);
                Ok(machines)
            }
            Err(error) => {
                tracing::info!(request_id = rental.request_id, kind = %rental.machine_type, zone = %rental.zone, spot = rental.spot, %error, "rental refused");
                Err(error)
            }
        };
        let now = self.now();
        let mut cores = self.shards.owned_mut();
        let core = cores.get_mut(order.shard);
        if let Some(c) = core.filter(|c| c.grant == order.grant) {
            c.scale_out_finished(rental, result, now);
        }
    }
}

/// Machines that an owned shard asks for.
struct ShardRental {
    shard: ShardId,
    /// The grant that it asked under.
    grant: u64,
    rental: Rental,
}
