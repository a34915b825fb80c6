//! The block owner's duties: the loops that drive the core.

use super::*;

/// A look at the whole fleet that takes so long, in seconds, is told of in the
/// log: everything else waits for it.
const LONG_S: f64 = 0.4;

impl Node {
    /// Runs what is due on the core: walks, recording, commands.
    pub(super) fn drive(self: &Rc<Self>) {
        let now = self.now();
        let mut core = self.core.borrow_mut();
        let Some(c) = core.as_mut() else { return };
        if self.paces.walk.borrow().due(now) {
            self.timed("walk", &self.paces.walk, || c.place(now));
        }
        self.place_all(c, now);
        if c.has_urgent() {
            self.record.notify_one();
        }
        let sends = c.dispatch(&self.view.borrow(), now);
        drop(core);
        for send in sends {
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
                let mine = node
                    .core
                    .borrow_mut()
                    .as_mut()
                    .filter(|c| c.grant == send.orders.baton.grant())
                    .map(|c| c.dispatched(&send.machine, outcome, now));
                if mine == Some(false) {
                    node.deposed();
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
        loop {
            // Also now and then for what is not urgent.
            let _ = timeout(TICK, self.record.notified()).await;
            loop {
                let batch = {
                    let mut core = self.core.borrow_mut();
                    let view = self.view.borrow();
                    let spare = self.state.writes.spare();
                    let now = self.now();
                    core.as_mut().and_then(|c| {
                        let batch = c.next_batch(&view, self.cfg.txn_ops, spare, now)?;
                        Some((c.grant, batch))
                    })
                };
                let Some((grant, batch)) = batch else { break };
                self.record_batch(grant, batch).await;
                self.drive();
            }
        }
    }

    pub(super) async fn record_batch(self: &Rc<Self>, grant: u64, batch: core::Batch) {
        let ours = |c: &mut Option<Core>| c.as_ref().is_some_and(|c| c.grant == grant);
        loop {
            let result = self
                .state
                .txn(&batch.txn, Urgency::Within(Duration::from_secs(3)))
                .await;
            if !ours(&mut self.core.borrow_mut()) {
                return;
            }
            match result {
                Ok(Outcome::Done(revision)) => {
                    let mut core = self.core.borrow_mut();
                    let mut view = self.view.borrow_mut();
                    if let Some(c) = core.as_mut() {
                        c.committed(batch, revision, &mut view, self.now());
                    }
                    drop(view);
                    self.peers.announce(revision);
                    return;
                }
                Ok(Outcome::Failed(revision)) => {
                    while self.view.borrow().ledger < revision {
                        if !self.fresh().await {
                            sleep(Duration::from_millis(100)).await;
                        }
                        if !ours(&mut self.core.borrow_mut()) {
                            return;
                        }
                    }
                    let mut core = self.core.borrow_mut();
                    let kept = core
                        .as_mut()
                        .is_none_or(|c| c.conflicted(batch, &self.view.borrow(), self.now()));
                    drop(core);
                    if !kept {
                        tracing::info!("the grant is not ours any more");
                        self.stand_down();
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
                if let Some(c) = self.core.borrow_mut().as_mut() {
                    c.tick(now);
                    // What has a place needs nobody stopped.
                    self.place_all(c, now);
                    if self.paces.preempt.borrow().due(now) {
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
                    if let Some(c) = self.core.borrow_mut().as_mut() {
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
            if self.core.borrow().is_none() {
                continue;
            }
            match self.cloud.list().await {
                Ok(list) => {
                    pause = least.max(list.len() as f64 / LISTED_A_SECOND);
                    let now = self.now();
                    if let Some(c) = self.core.borrow_mut().as_mut() {
                        c.listed(&list, now);
                    }
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
            let plan = self.core.borrow_mut().as_mut().map(|c| {
                (
                    c.grant,
                    self.timed("fleet", &self.paces.fleet, || c.fleet(now)),
                )
            });
            let Some((grant, (gone, rentals))) = plan else {
                continue;
            };
            for machines in gone.chunks(100) {
                match self.cloud.delete(machines).await {
                    Ok(()) => {
                        tracing::info!(?machines, "deleted");
                        let now = self.now();
                        if let Some(c) = self.core.borrow_mut().as_mut() {
                            c.deleted(machines, now);
                        }
                        self.drive();
                    }
                    Err(error) => tracing::info!(%error, "delete"),
                }
            }
            for rental in rentals {
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
                    let now = node.now();
                    if let Some(c) = node.core.borrow_mut().as_mut().filter(|c| c.grant == grant) {
                        c.rented(&rental, result, now);
                    }
                });
            }
        }
    }
}
