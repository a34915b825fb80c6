//! Periodic requests to the cloud: reading machine types and the machine list, and scaling
//! out and in.

use std::rc::Rc;
use std::time::Duration;

use sorrelhinge_sharding::shard::ShardId;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::paces::Duty;
use super::Node;
use crate::cloud::{ListedMachine, Rental};
use crate::types::MachineId;

/// Interval between two plans of which machines to rent and delete.
const AUTOSCALE_INTERVAL: Duration = Duration::from_millis(700);
/// Maximum rate at which a controller reads entries of the cloud's machine list, in machines per
/// second.
const MACHINES_LISTED_PER_S: f64 = 350.0;
/// Pause before the first request for the cloud's machine list and after a failed one, in seconds.
const LIST_RETRY_S: f64 = 0.5;
/// Lower bound of the minimum pause between two requests for the cloud's machine list, in seconds.
const LIST_PAUSE_FLOOR_S: f64 = 1.0;
/// Upper bound of the minimum pause between two requests for the cloud's machine list, in seconds.
/// The minimum pause is half the lag of the list, within these two bounds.
const LIST_PAUSE_CEILING_S: f64 = 5.0;
/// Interval between two reads of the cloud's machine types. Their prices change; the other
/// properties hardly do.
const MACHINE_TYPES_INTERVAL: Duration = Duration::from_secs(45);
/// Pause after a failed read of the cloud's machine types, while those of an earlier read are
/// known.
const MACHINE_TYPES_RETRY_PAUSE: Duration = Duration::from_secs(10);
/// Pause after a failed read of the cloud's machine types while none are known. The controller
/// can't accept any job before it knows them.
const FIRST_MACHINE_TYPES_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Maximum number of machines that one request deletes.
const MAX_DELETIONS_PER_REQUEST: usize = 100;

impl Node {
    /// Reads the machine types periodically and passes them to the catalog and the owned
    /// shards.
    pub(super) async fn refresh_machine_types(self: Rc<Self>) {
        loop {
            match self.cloud.types().await {
                Ok(types) => {
                    for c in self.shards.owned_mut().values_mut() {
                        c.set_types(&types);
                    }
                    self.catalog.set_types(types);
                    sleep(MACHINE_TYPES_INTERVAL).await;
                }
                Err(error) => {
                    tracing::info!(%error, "machine type list failed");
                    let pause = if self.catalog.has_types() {
                        MACHINE_TYPES_RETRY_PAUSE
                    } else {
                        FIRST_MACHINE_TYPES_RETRY_PAUSE
                    };
                    sleep(pause).await;
                }
            }
        }
    }

    /// Reads the machine list periodically. The list always lags behind the cloud, and the
    /// lag grows with the number of machines, so a longer list is read less often.
    pub(super) async fn list_machines(self: Rc<Self>) {
        let min_pause = (self.cfg.list_lag_s / 2.0).clamp(LIST_PAUSE_FLOOR_S, LIST_PAUSE_CEILING_S);
        let mut pause = LIST_RETRY_S;
        loop {
            sleep(Duration::from_secs_f64(pause)).await;
            pause = LIST_RETRY_S;
            if self.shards.is_empty() {
                continue;
            }
            match self.cloud.list().await {
                Ok(list) => {
                    // Each owner of shards reads the list, so each one reads it less often
                    // if there are several.
                    let owners = self.shard_owner_count() as f64;
                    pause =
                        min_pause.max(list.len() as f64 / MACHINES_LISTED_PER_S) * owners.sqrt();
                    self.apply_machine_list(&list);
                    self.run_due_work();
                }
                Err(error) => tracing::info!(%error, "machine list failed"),
            }
        }
    }

    /// Passes the listed machines of each owned shard to that shard.
    fn apply_machine_list(&self, list: &[ListedMachine]) {
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
                c.apply_machine_list(&own.cloned().collect::<Vec<_>>(), now);
            } else {
                c.apply_machine_list(list, now);
            }
        }
    }

    /// Plans periodically which machines to rent and delete, and carries out the plan.
    pub(super) async fn run_autoscaler(self: Rc<Self>) {
        loop {
            sleep(AUTOSCALE_INTERVAL).await;
            // Without the lease another controller may own the shard. The machines of the
            // shard would then look silent here, and this controller must not delete them.
            if !self.leadership.is_exclusive() {
                continue;
            }
            let now = self.now();
            if !self.paces.due(Duty::PlanScaling, now) {
                continue;
            }
            let mut to_delete: Vec<MachineId> = Vec::new();
            let mut rentals = Vec::new();
            for (shard, c) in self.shards.owned_mut().iter_mut() {
                let decision = self.run_timed_duty(Duty::PlanScaling, || c.plan_scaling(now));
                to_delete.extend(decision.to_delete);
                rentals.extend(decision.scale_out.into_iter().map(|rental| ShardRental {
                    shard: *shard,
                    grant: c.grant,
                    rental,
                }));
            }
            self.delete_machines(&to_delete).await;
            for rental in rentals {
                spawn_local(self.clone().rent(rental));
            }
        }
    }

    /// Deletes machines in the cloud and removes them from the owned shards.
    async fn delete_machines(self: &Rc<Self>, to_delete: &[MachineId]) {
        for machines in to_delete.chunks(MAX_DELETIONS_PER_REQUEST) {
            match self.cloud.delete(machines).await {
                Ok(()) => {
                    tracing::info!(?machines, "machines deleted");
                    let now = self.now();
                    for c in self.shards.owned_mut().values_mut() {
                        let own = machines.iter().filter(|m| c.scope.covers(m));
                        c.apply_deletions(&own.cloned().collect::<Vec<_>>(), now);
                    }
                    self.run_due_work();
                }
                Err(error) => tracing::info!(%error, "machine deletion failed"),
            }
        }
    }

    /// Rents machines and announces them to all controllers that may own them. The shard
    /// that asked gets the outcome if this controller still owns it by the same grant.
    async fn rent(self: Rc<Self>, order: ShardRental) {
        let rental = &order.rental;
        let result = match self.cloud.rent(rental).await {
            Ok(machines) => {
                tracing::info!(request_id = rental.request_id, kind = %rental.machine_type, zone = %rental.zone, spot = rental.spot, asked = rental.count, got = machines.len(), "machines rented");
                self.announce_rented_machines(rental, &machines);
                Ok(machines)
            }
            Err(error) => {
                tracing::info!(request_id = rental.request_id, kind = %rental.machine_type, zone = %rental.zone, spot = rental.spot, %error, "rental failed");
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

/// Rental that an owned shard asks for.
struct ShardRental {
    shard: ShardId,
    /// Grant by which this controller owned the shard when it asked.
    grant: u64,
    rental: Rental,
}
