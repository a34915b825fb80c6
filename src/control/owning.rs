//! The block owner's duties: the loops that drive the core.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use sorrelhinge_blocks::shard::BlockId;
use sorrelhinge_overload::pace::Pace;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

use super::core::Core;
use super::{core, Node, FLEET_EVERY, LISTED_A_SECOND, TICK};
use crate::cloud::CloudError;
use crate::state::{Outcome, StateError, Urgency};
use crate::types::{MachineId, Time};
use crate::worker::{send_orders, Sending};

/// A look at the whole fleet that takes so long, in seconds, is told of in the
/// log: everything else waits for it.
const LONG_S: f64 = 0.4;
/// Machines whose place is remembered beyond twice those that are listed.
const PLACES_MORE: usize = 1000;

impl Node {
    /// Runs what is due on the core: walks, recording, commands.
    pub(super) fn drive(self: &Rc<Self>) {
        let now = self.now();
        let mut cores = self.cores.borrow_mut();
        let walks = self.paces.walk.borrow().due(now);
        let starts_until = self.starts_until();
        // A lease that nobody renews ends, but the next session takes starts again:
        // one of a job that was cancelled elsewhere, long ago by then.
        let may_command = self.knows_the_cancelled();
        let mut sends = Vec::new();
        for (block, c) in cores.iter_mut() {
            c.may_start_until(starts_until, now);
            if walks {
                self.timed("walk", &self.paces.walk, || c.place(now));
            }
            self.place_all(c, now);
            if c.has_urgent() {
                self.record.notify_one();
            }
            if !may_command {
                continue;
            }
            let some = c.dispatch(&self.view.borrow(), now);
            sends.extend(some.into_iter().map(|send| (*block, send)));
        }
        drop(cores);
        for (block, send) in sends {
            let node = self.clone();
            spawn_local(async move {
                let outcome = match send_orders(send.addr, &send.orders).await {
                    // The address now belongs to another machine.
                    Sending::Executed(r) | Sending::Refused(r) if r.machine != send.machine => {
                        Sending::NotSent
                    }
                    outcome => outcome,
                };
                let now = node.now();
                let reached = matches!(outcome, Sending::Executed(_) | Sending::Refused(_));
                let mine = node
                    .cores
                    .borrow_mut()
                    .get_mut(&block)
                    .filter(|c| c.grant == send.orders.baton.grant())
                    .map(|c| c.dispatched(&send.machine, outcome, now));
                // What fails for an owner that is none any more says nothing of
                // the next time that it is one.
                match (reached, mine) {
                    (true, _) => node.reach.borrow_mut().direct(),
                    (false, Some(_)) => node.reach.borrow_mut().failed(&send.machine, now),
                    (false, None) => {}
                }
                if mine == Some(false) {
                    node.deposed(block);
                }
                node.drive();
            });
        }
    }

    fn place_all(&self, core: &mut Core, now: Time) {
        if core.walk_all && self.paces.place.borrow().due(now) {
            self.timed("place", &self.paces.place, || core.place_all(now));
        }
    }

    /// Does a duty that looks at the whole fleet, and notes what it took.
    pub(super) fn timed<R>(
        &self,
        name: &'static str,
        pace: &RefCell<Pace>,
        duty: impl FnOnce() -> R,
    ) -> R {
        let begun = Instant::now();
        let result = duty();
        let cost = begun.elapsed().as_secs_f64();
        pace.borrow_mut()
            .done(cost, self.load.wait_s.get(), self.now());
        let spent = &self.load.counts.spent;
        spent.set(spent.get() + cost);
        let longest = &self.load.counts.longest;
        longest.set(longest.get().max(cost));
        if cost >= LONG_S {
            tracing::info!(
                duty = name,
                cost_s = (cost * 100.0).round() / 100.0,
                "long duty"
            );
        }
        result
    }

    /// Records claims and results, one transaction at a time.
    pub(super) async fn pump(self: Rc<Self>) {
        let mut last = BlockId(0);
        loop {
            // Also now and then for what is not urgent.
            let _ = timeout(TICK, self.record.notified()).await;
            loop {
                let batch = {
                    let mut cores = self.cores.borrow_mut();
                    let view = self.view.borrow();
                    let spare = self.state.writes.spare();
                    let now = self.now();
                    // The blocks take turns.
                    let (before, after): (Vec<_>, Vec<_>) =
                        cores.iter_mut().partition(|(block, _)| **block <= last);
                    let mut turns = after.into_iter().chain(before);
                    turns.find_map(|(block, c)| {
                        let batch =
                            c.next_batch(&view, self.cfg.state_limits.txn_ops, spare, now)?;
                        Some((*block, c.grant, batch))
                    })
                };
                let Some((block, grant, batch)) = batch else {
                    break;
                };
                last = block;
                self.record_batch(block, grant, batch).await;
                self.drive();
            }
            self.hand_on().await;
        }
    }

    pub(super) async fn record_batch(
        self: &Rc<Self>,
        block: BlockId,
        grant: u64,
        batch: core::Batch,
    ) {
        let ours = || {
            let cores = self.cores.borrow();
            cores.get(&block).is_some_and(|c| c.grant == grant)
        };
        loop {
            let result = self
                .state
                .txn(&batch.txn, Urgency::Within(Duration::from_secs(3)))
                .await;
            if !ours() {
                return;
            }
            match result {
                Ok(Outcome::Done(revision)) => {
                    let mut cores = self.cores.borrow_mut();
                    let mut view = self.view.borrow_mut();
                    if let Some(c) = cores.get_mut(&block) {
                        c.committed(batch, revision, &mut view, self.now());
                    }
                    drop(view);
                    drop(cores);
                    self.peers.announce(revision);
                    return;
                }
                Ok(Outcome::Failed(revision)) => {
                    while self.view.borrow().ledger < revision {
                        if !self.fresh().await {
                            sleep(Duration::from_millis(100)).await;
                        }
                        if !ours() {
                            return;
                        }
                    }
                    let mut cores = self.cores.borrow_mut();
                    let kept = cores
                        .get_mut(&block)
                        .is_none_or(|c| c.conflicted(batch, &self.view.borrow(), self.now()));
                    drop(cores);
                    if !kept {
                        tracing::info!(%block, "the grant is not ours any more");
                        self.stand_down(block);
                    }
                    return;
                }
                Err(StateError::Rejected(why)) => {
                    tracing::error!(%why, changes = batch.txn.apply.len(), "a transaction was rejected");
                    let mut cores = self.cores.borrow_mut();
                    if let Some(c) = cores.get_mut(&block) {
                        let limits_fell = self.state.limits_fell();
                        c.rejected(batch, limits_fell, &self.view.borrow(), self.now());
                    }
                    return;
                }
                // The same transaction again: if an earlier try is carried out
                // after all, its conditions or ours fail, and the view tells.
                Err(error) => {
                    tracing::debug!(%error, "recording");
                    sleep(Duration::from_millis(150)).await;
                }
            }
        }
    }

    pub(super) async fn tend(self: Rc<Self>) {
        let mut last = Instant::now();
        loop {
            let _ = timeout(TICK, self.work.notified()).await;
            if last.elapsed() >= TICK {
                last = Instant::now();
                let now = self.now();
                // Who took it up again as no other did keeps it: where nobody
                // reaches the workers it would go round and round.
                let fit = Instant::now() >= self.unfit_until.get();
                if fit && self.reach.borrow().cut_off(now) {
                    self.resign("workers can't be reached from here").await;
                }
                let preempts = self.paces.preempt.borrow().due(now);
                for c in self.cores.borrow_mut().values_mut() {
                    c.tick(now);
                    // What has a place needs nobody stopped.
                    self.place_all(c, now);
                    if preempts {
                        self.timed("preempt", &self.paces.preempt, || c.preempt(now));
                    }
                }
            }
            self.drive();
        }
    }

    pub(super) async fn learn_types(self: Rc<Self>) {
        loop {
            match self.cloud.types().await {
                Ok(types) => {
                    for c in self.cores.borrow_mut().values_mut() {
                        c.set_types(&types);
                    }
                    *self.types.borrow_mut() = types;
                    // Prices change; the rest hardly does.
                    sleep(Duration::from_secs(45)).await;
                }
                Err(error) => {
                    tracing::info!(%error, "machine types");
                    let known = !self.types.borrow().is_empty();
                    sleep(Duration::from_secs(if known { 10 } else { 1 })).await;
                }
            }
        }
    }

    /// Reads the machine list. It is late in any case, and longer with more
    /// machines, so then it is read less often.
    pub(super) async fn list_machines(self: Rc<Self>) {
        let least = (self.cfg.list_lag_s / 2.0).clamp(1.0, 5.0);
        let mut pause = 0.5;
        loop {
            sleep(Duration::from_secs_f64(pause)).await;
            pause = 0.5;
            if self.cores.borrow().is_empty() {
                continue;
            }
            match self.cloud.list().await {
                Ok(list) => {
                    // Of several owners each reads it, so each less often.
                    let owners = self.owners_of_blocks() as f64;
                    pause = least.max(list.len() as f64 / LISTED_A_SECOND) * owners.sqrt();
                    let now = self.now();
                    if self.view_blocks() > 1 {
                        let zones = list.iter().map(|m| (m.uid.clone(), m.rack.clone()));
                        let mut places = self.places.borrow_mut();
                        // Those that were rented since are not listed yet.
                        if places.len() > 2 * list.len() + PLACES_MORE {
                            places.clear();
                        }
                        places.extend(zones);
                    }
                    let mut cores = self.cores.borrow_mut();
                    for c in cores.values_mut() {
                        c.look_elsewhere(&self.view.borrow());
                        let shard = c.shard;
                        if shard.is_part() {
                            let own = list.iter().filter(|m| shard.covers(&m.uid));
                            c.listed(&own.cloned().collect::<Vec<_>>(), now);
                        } else {
                            c.listed(&list, now);
                        }
                    }
                    drop(cores);
                    self.drive();
                }
                Err(error) => tracing::info!(%error, "machine list"),
            }
        }
    }

    pub(super) async fn tend_cloud(self: Rc<Self>) {
        loop {
            sleep(FLEET_EVERY).await;
            // Without the lease another controller may own the block: its
            // machines would look silent here, and must not be given back.
            if Instant::now() >= self.leads_until.get() {
                continue;
            }
            let now = self.now();
            if !self.paces.fleet.borrow().due(now) {
                continue;
            }
            let mut to_delete: Vec<MachineId> = Vec::new();
            let mut rentals = Vec::new();
            for (block, c) in self.cores.borrow_mut().iter_mut() {
                let plan = self.timed("fleet", &self.paces.fleet, || c.fleet(now));
                to_delete.extend(plan.to_delete);
                rentals.extend(plan.scale_out.into_iter().map(|r| (*block, c.grant, r)));
            }
            for machines in to_delete.chunks(100) {
                match self.cloud.delete(machines).await {
                    Ok(()) => {
                        tracing::info!(?machines, "deleted");
                        let now = self.now();
                        for c in self.cores.borrow_mut().values_mut() {
                            let own = machines.iter().filter(|m| c.shard.covers(m));
                            c.deleted(&own.cloned().collect::<Vec<_>>(), now);
                        }
                        self.drive();
                    }
                    Err(error) => tracing::info!(%error, "delete"),
                }
            }
            for (block, grant, rental) in rentals {
                let node = self.clone();
                spawn_local(async move {
                    let result = node.cloud.rent(&rental).await;
                    let result = match result {
                        Ok(machines) => {
                            tracing::info!(hire = rental.hire, kind = %rental.build, zone = %rental.rack, spot = rental.loaners, asked = rental.number, got = machines.len(), "rented");
                            Ok(machines)
                        }
                        Err(error) => {
                            tracing::info!(hire = rental.hire, kind = %rental.build, zone = %rental.rack, spot = rental.loaners, %error, "not rented");
                            Err(matches!(error, CloudError::NoCapacity))
                        }
                    };
                    if let Ok(machines) = &result {
                        node.tell_rented(&rental, machines);
                    }
                    let now = node.now();
                    let mut cores = node.cores.borrow_mut();
                    if let Some(c) = cores.get_mut(&block).filter(|c| c.grant == grant) {
                        c.rented(&rental, result, now);
                    }
                });
            }
        }
    }
}
