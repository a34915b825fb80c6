//! Leadership, the block, claims and recovery: the only writer of truth.

pub mod core;
pub mod pending;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

use self::core::{Core, Source};
use crate::cloud::{CloudClient, CloudError};
use crate::config::Config;
use crate::peer::{self, Peers};
use crate::state::record::{job_key, GrantRecord, JobRecord, LeaderRecord, Phase, GRANT, LEADER};
use crate::state::view::{Summary, Versioned, View};
use crate::state::{Change, Outcome, StateClient, StateError, Txn, Urgency, When};
use crate::types::{
    JobId, JobSpec, Kind, LeaseId, MachineId, MachineType, NodeId, Revision, Term, Time,
};
use crate::worker::{send_orders, Reply, Report, Sending};

/// What a submission comes to.
#[derive(Clone, Debug, PartialEq)]
pub enum Submitted {
    /// Newly accepted.
    Accepted,
    /// Accepted before; its state now.
    Known(Summary),
    /// Can never run.
    Never(&'static str),
    /// Can't be decided now.
    Unavailable,
}

/// What a report's sender is told.
pub enum Beat {
    /// The block's owner answers.
    Reply(Reply),
    /// The block's owner answered, and this controller passes it on.
    Passed(peer::Answered),
    /// Another controller owns the block.
    Elsewhere(NodeId),
    /// Nobody is known to.
    Unavailable,
}

/// One controller.
pub struct Node {
    cfg: Rc<Config>,
    state: Rc<StateClient>,
    cloud: Rc<CloudClient>,
    peers: Rc<Peers>,
    view: RefCell<View>,
    core: RefCell<Option<Core>>,
    types: RefCell<Vec<MachineType>>,
    run: u64,
    epoch: Instant,
    lease: Cell<Option<LeaseId>>,
    /// Until then nobody else can have become leader.
    leads_until: Cell<Instant>,
    sync_wanted: Notify,
    syncs_started: Cell<u64>,
    synced: watch::Sender<(u64, bool)>,
    fresh_at: Cell<Instant>,
    newest_hint: Cell<Revision>,
    behind_since: Cell<Option<Instant>>,
    work: Notify,
    record: Notify,
    leader_changed: Notify,
    submissions: Cell<usize>,
    sent_on: RefCell<HashMap<MachineId, SentOn>>,
}

/// A worker that was told which controller to report to.
struct SentOn {
    to: NodeId,
    last: Instant,
    /// It came back, as it can't reach that one: its reports are passed on.
    passing_since: Option<Instant>,
}

/// Without news from the state service for this long, and while others have
/// some for `BEHIND`, a controller is cut off.
const STALE: Duration = Duration::from_millis(2500);
const BEHIND: Duration = Duration::from_secs(1);
const SYNC_GAP: Duration = Duration::from_millis(20);
const SYNC_GAP_MOST: Duration = Duration::from_millis(300);
const FOLLOW: Duration = Duration::from_secs(4);
/// How often the fleet is planned.
const FLEET_EVERY: Duration = Duration::from_millis(700);
/// Machines that are read from the list a second.
const LISTED_A_SECOND: f64 = 350.0;
const TICK: Duration = Duration::from_millis(200);
const MOST_SUBMISSIONS: usize = 64;
/// While others are served for this long, requests are passed on to them.
const CUT_OFF: Duration = Duration::from_millis(300);
/// For how long a worker's reports are passed on before it is told again whom
/// to report to.
const PASS_ON: Duration = Duration::from_secs(45);
/// Workers remembered as told whom to report to.
const MOST_SENT_ON: usize = 8192;
/// The leader's part of the requests that the state service takes.
const LEADER_REQUESTS: f64 = 0.5;
/// The leader's part of the changes.
const LEADER_CHANGES: f64 = 0.65;

fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

impl Node {
    /// A controller that is not running yet.
    pub fn new(cfg: Rc<Config>, peers: Rc<Peers>) -> Rc<Self> {
        let state = StateClient::new(cfg.state, cfg.state_rps, cfg.state_write_rps);
        let cloud = CloudClient::new(cfg.cloud, cfg.cloud_rps * 0.8);
        let node = Rc::new(Self {
            state,
            cloud,
            peers,
            view: RefCell::default(),
            core: RefCell::new(None),
            types: RefCell::default(),
            run: rand::random(),
            epoch: Instant::now(),
            lease: Cell::new(None),
            leads_until: Cell::new(Instant::now()),
            sync_wanted: Notify::new(),
            syncs_started: Cell::new(0),
            synced: watch::Sender::new((0, false)),
            fresh_at: Cell::new(Instant::now()),
            newest_hint: Cell::new(Revision(0)),
            behind_since: Cell::new(None),
            work: Notify::new(),
            record: Notify::new(),
            leader_changed: Notify::new(),
            submissions: Cell::new(0),
            sent_on: RefCell::default(),
            cfg,
        });
        node.set_share(false);
        node
    }

    /// The settings.
    pub fn config(&self) -> &Config {
        &self.cfg
    }

    fn now(&self) -> Time {
        Time(self.epoch.elapsed().as_secs_f64())
    }

    /// Starts all long-lived duties.
    pub fn start(self: &Rc<Self>) {
        spawn_local(self.clone().follow());
        spawn_local(self.clone().sync());
        spawn_local(self.clone().lead());
        spawn_local(self.clone().pump());
        spawn_local(self.clone().tend());
        spawn_local(self.clone().tend_cloud());
        spawn_local(self.clone().list_machines());
        spawn_local(self.clone().learn_types());
    }

    // ---- the view -------------------------------------------------------

    /// Whether requests can be taken: not while the others are served by the
    /// state service and this controller is not. While nobody is, users are
    /// better told to come back than sent nowhere, and nothing has to be
    /// marked healthy again once the outage is over.
    pub fn healthy(&self) -> bool {
        let view = self.view.borrow();
        let served = self.fresh_at.get().elapsed() < STALE;
        let behind = self
            .behind_since
            .get()
            .is_some_and(|t| t.elapsed() >= BEHIND);
        view.loaded && (served || !behind)
    }

    /// A hint from another controller.
    pub fn hinted(&self, revision: Revision) {
        if revision > self.view.borrow().ledger {
            if self.behind_since.get().is_none() {
                self.behind_since.set(Some(Instant::now()));
            }
            self.newest_hint.set(self.newest_hint.get().max(revision));
            self.sync_wanted.notify_one();
        }
    }

    /// Waits until the view is at least as new as the state service was when
    /// this was called. One read serves all who wait.
    pub async fn fresh(&self) -> bool {
        let need = self.syncs_started.get() + 1;
        let mut done = self.synced.subscribe();
        self.sync_wanted.notify_one();
        let waited = timeout(Duration::from_millis(1400), async {
            loop {
                let (number, ok) = *done.borrow_and_update();
                if number >= need {
                    return ok;
                }
                if done.changed().await.is_err() {
                    return false;
                }
            }
        });
        waited.await.unwrap_or(false)
    }

    /// Reads what is new whenever somebody needs to know that it is all.
    async fn sync(self: Rc<Self>) {
        loop {
            self.sync_wanted.notified().await;
            let number = self.syncs_started.get() + 1;
            self.syncs_started.set(number);
            let ok = self.read_new(Duration::ZERO).await;
            self.synced.send_replace((number, ok));
            // Not more than half of this controller's requests.
            let gap = Duration::from_secs_f64(2.0 / self.state.requests.rate().max(1.0));
            sleep(gap.clamp(SYNC_GAP, SYNC_GAP_MOST)).await;
        }
    }

    /// Waits for changes, so that the view is never old for long.
    async fn follow(self: Rc<Self>) {
        loop {
            let ok = self.read_new(FOLLOW).await;
            let leading = self.core.borrow().is_some();
            let pause = match (ok, leading) {
                (false, _) => 250,
                (true, true) => 50,
                (true, false) => 200,
            };
            sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn read_new(&self, wait: Duration) -> bool {
        let asked = Instant::now();
        if !self.view.borrow().loaded {
            return self.read_all().await;
        }
        let since = self.view.borrow().ledger;
        match self
            .state
            .follow(since, wait, Urgency::Within(Duration::from_millis(800)))
            .await
        {
            Ok(events) => {
                self.view.borrow_mut().apply(since, events);
                // A watch answers when something changes, or when its time is
                // over: what it says was so at its end, but it may have been
                // held up on the way. Only short reads count as fresh.
                if wait.is_zero() {
                    self.fresh_at.set(asked);
                } else {
                    self.fresh_at.set(self.fresh_at.get().max(asked));
                }
                self.view_changed();
                true
            }
            Err(StateError::TooOld) => self.read_all().await,
            Err(error) => {
                tracing::debug!(%error, "follow");
                false
            }
        }
    }

    async fn read_all(&self) -> bool {
        let asked = Instant::now();
        match self.state.read_all().await {
            Ok((ledger, items)) => {
                tracing::info!(%ledger, keys = items.len(), "read everything");
                self.view.borrow_mut().replace(ledger, items);
                self.fresh_at.set(asked);
                self.view_changed();
                true
            }
            Err(error) => {
                tracing::info!(%error, "read everything");
                false
            }
        }
    }

    fn view_changed(&self) {
        let mut view = self.view.borrow_mut();
        if view.ledger >= self.newest_hint.get() {
            self.behind_since.set(None);
        }
        let changed = view.take_changed();
        let mut core = self.core.borrow_mut();
        if let Some(c) = core.as_mut() {
            if view.grant.value.number > c.grant {
                tracing::info!(
                    grant = view.grant.value.number,
                    "the block was granted anew: standing down"
                );
                *core = None;
                self.lease.set(None);
                self.set_share(false);
            } else if !changed.is_empty() {
                c.jobs_changed(&view, &changed, self.now(), wall_ms());
                self.work.notify_one();
            }
        }
        let leaderless = view.leader.value.is_none();
        drop(core);
        drop(view);
        if leaderless {
            self.leader_changed.notify_one();
        }
    }

    // ---- leadership -----------------------------------------------------

    /// Becomes leader whenever there is none, and stays it.
    async fn lead(self: Rc<Self>) {
        let life = Duration::from_secs_f64(self.cfg.tuning.leader_lease_s);
        loop {
            match self.lease.get() {
                Some(lease) => {
                    let asked = Instant::now();
                    match self.state.renew(lease).await {
                        Ok(()) => {
                            self.leads_until.set(asked + life);
                            sleep(life / 4).await;
                        }
                        Err(StateError::LeaseEnded) => self.lease.set(None),
                        Err(_) => sleep(life / 8).await,
                    }
                    continue;
                }
                None => {
                    let _ =
                        timeout(Duration::from_millis(300), self.leader_changed.notified()).await;
                }
            }
            let (leader, grant, loaded) = {
                let view = self.view.borrow();
                (view.leader.clone(), view.grant.clone(), view.loaded)
            };
            if !loaded {
                continue;
            }
            // The key goes with its lease, unless an earlier run of this very
            // controller wrote it: that run is over.
            let stamp = match &leader.value {
                None => Revision(0),
                Some(l) if l.node == self.cfg.node && l.run != self.run => leader.stamp,
                Some(_) => continue,
            };
            self.stand(stamp, grant, life).await;
        }
    }

    /// Tries to become leader; if the block is still ours, keeps the grant.
    async fn stand(&self, leader_stamp: Revision, grant: Versioned<GrantRecord>, life: Duration) {
        let asked = Instant::now();
        let Ok(lease) = self.state.lease(life).await else {
            return;
        };
        let held = self.core.borrow().as_ref().map(|c| c.grant);
        let kept = held == Some(grant.value.number);
        let term = Term(grant.value.term.0 + u64::from(!kept));
        let leader = LeaderRecord {
            node: self.cfg.node.clone(),
            run: self.run,
            term,
        };
        let next = GrantRecord {
            owner: Some(self.cfg.node.clone()),
            term,
            number: grant.value.number + 1,
        };
        let mut txn = Txn {
            when: vec![
                When {
                    key: LEADER.into(),
                    stamp: leader_stamp,
                },
                When {
                    key: GRANT.into(),
                    stamp: grant.stamp,
                },
            ],
            apply: vec![Change::write(LEADER.into(), &leader, Some(lease))],
        };
        if !kept {
            txn.apply.push(Change::write(GRANT.into(), &next, None));
        }
        match self.state.txn(&txn, Urgency::First).await {
            Ok(Outcome::Done(revision)) => {
                self.lease.set(Some(lease));
                self.leads_until.set(asked + life);
                if !kept {
                    self.take_over(next, revision).await;
                }
            }
            Ok(Outcome::Failed(_)) => {
                self.fresh().await;
            }
            Err(error) => {
                // If it was carried out after all, the key goes with its lease.
                tracing::info!(%error, "standing for leader");
                sleep(Duration::from_millis(150)).await;
            }
        }
    }

    async fn take_over(&self, grant: GrantRecord, revision: Revision) {
        // Everything that earlier owners recorded is older than the grant.
        while self.view.borrow().ledger < revision {
            if !self.fresh().await {
                sleep(Duration::from_millis(50)).await;
            }
        }
        if self.view.borrow().grant.value.number != grant.number {
            self.lease.set(None);
            return;
        }
        tracing::info!(term = %grant.term, grant = grant.number, "leading");
        self.set_share(true);
        let core = Core::load(
            self.cfg.clone(),
            &self.types.borrow(),
            &self.view.borrow(),
            (grant.number, revision),
            self.now(),
            wall_ms(),
        );
        *self.core.borrow_mut() = Some(core);
        self.work.notify_one();
    }

    /// Divides what all may ask of the state service: most changes are the
    /// leader's, who claims and completes; the others accept and cancel, a few
    /// at a time, so they may ask for some at once. Where that comes to too
    /// much together, the service says so, and who asked waits.
    fn set_share(&self, leading: bool) {
        let others = self.cfg.others.len() as f64;
        let part = |leader: f64| match (leading, others > 0.0) {
            (_, false) => 1.0,
            (true, true) => leader,
            (false, true) => (1.0 - leader) / others,
        };
        let rps = self.cfg.state_rps * 0.95;
        self.state
            .requests
            .set_rate(rps * part(LEADER_REQUESTS), 4.0);
        let changes = self.cfg.state_write_rps * 0.95;
        let burst = (changes / 4.0).min(4.0);
        self.state
            .writes
            .set_rate((changes * part(LEADER_CHANGES)).max(0.5), burst);
    }

    /// A worker has seen the token of a newer grant, so there is one, whether
    /// or not the state service can be asked about it.
    fn deposed(&self) {
        tracing::info!("a newer grant commands: standing down");
        self.stand_down();
        self.sync_wanted.notify_one();
    }

    fn stand_down(&self) {
        *self.core.borrow_mut() = None;
        self.lease.set(None);
        self.set_share(false);
    }

    // ---- the owner's duties ---------------------------------------------

    /// Runs what is due on the core: walks, recording, commands.
    fn drive(self: &Rc<Self>) {
        let now = self.now();
        let mut core = self.core.borrow_mut();
        let Some(c) = core.as_mut() else { return };
        c.place(now);
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

    /// Records claims and results, one transaction at a time.
    async fn pump(self: Rc<Self>) {
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

    async fn record_batch(self: &Rc<Self>, grant: u64, batch: core::Batch) {
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

    async fn tend(self: Rc<Self>) {
        let mut last = Instant::now();
        loop {
            let _ = timeout(TICK, self.work.notified()).await;
            if last.elapsed() >= TICK {
                last = Instant::now();
                let now = self.now();
                if let Some(c) = self.core.borrow_mut().as_mut() {
                    c.tick(now);
                }
            }
            self.drive();
        }
    }

    async fn learn_types(self: Rc<Self>) {
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
    async fn list_machines(self: Rc<Self>) {
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

    async fn tend_cloud(self: Rc<Self>) {
        loop {
            sleep(FLEET_EVERY).await;
            // Without the lease another controller may own the block: its
            // machines would look silent here, and must not be given back.
            if Instant::now() >= self.leads_until.get() {
                continue;
            }
            let now = self.now();
            let plan = self
                .core
                .borrow_mut()
                .as_mut()
                .map(|c| (c.grant, c.fleet(now)));
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

    // ---- workers --------------------------------------------------------

    /// Takes a worker's report, `body` as it came.
    pub async fn beat(self: &Rc<Self>, report: &Report, body: &[u8]) -> Beat {
        match self.own_beat(report, Source::Beat) {
            Beat::Elsewhere(owner) => self.beat_elsewhere(report, owner, body).await,
            other => other,
        }
    }

    /// A report for another controller: its sender is told so. If it comes
    /// back soon it can't reach that one, and its report is passed on: its
    /// tasks must not end with its lease because two zones are apart. It is
    /// told again now and then, as the way may be open.
    async fn beat_elsewhere(&self, report: &Report, owner: NodeId, body: &[u8]) -> Beat {
        let back = Duration::from_secs_f64(self.cfg.lease_s / 2.0);
        let now = Instant::now();
        let passing = {
            let mut sent_on = self.sent_on.borrow_mut();
            if sent_on.len() >= MOST_SENT_ON {
                sent_on.retain(|_, s| now.duration_since(s.last) < back);
            }
            let known = sent_on
                .get_mut(&report.machine)
                .filter(|s| s.to == owner && now.duration_since(s.last) < back);
            match known {
                Some(s) => {
                    s.last = now;
                    let since = *s.passing_since.get_or_insert(now);
                    now.duration_since(since) < PASS_ON
                }
                None => false,
            }
        };
        if passing {
            let passed = self.pass_report_on(&owner, body, true).await;
            return passed
                .filter(|(status, _)| *status == 200)
                .map_or(Beat::Elsewhere(owner), Beat::Passed);
        }
        let sent = SentOn {
            to: owner.clone(),
            last: now,
            passing_since: None,
        };
        self.sent_on
            .borrow_mut()
            .insert(report.machine.clone(), sent);
        Beat::Elsewhere(owner)
    }

    /// Passes a report on to the owner, or if `via`, and if that can't be
    /// reached from here either, to one that may reach it: where two of three
    /// zones are apart, the third has a way.
    async fn pass_report_on(
        &self,
        owner: &NodeId,
        body: &[u8],
        via: bool,
    ) -> Option<peer::Answered> {
        let direct = self.peers.pass_on(owner, peer::Kind::Beat, body.to_vec());
        if let Some(answered) = direct.await {
            return Some(answered);
        }
        if !via {
            return None;
        }
        let zone_of = |node: &NodeId| {
            let other = self.cfg.others.iter().find(|o| o.node == *node);
            other.map(|o| o.zone.clone())
        };
        let mut others: Vec<NodeId> = self
            .peers
            .reachable()
            .filter(|n| *n != owner)
            .cloned()
            .collect();
        // Not one that shares this controller's place, if there is another.
        others.sort_by_key(|n| (zone_of(n).is_none_or(|z| z == self.cfg.zone), n.clone()));
        let other = others.first()?;
        self.peers
            .pass_on(other, peer::Kind::Via, body.to_vec())
            .await
    }

    /// Takes a report that another controller could not pass on to the owner.
    pub async fn passed_via(self: &Rc<Self>, report: &Report, body: &[u8]) -> Beat {
        match self.own_beat(report, Source::Passed) {
            Beat::Elsewhere(owner) => self
                .pass_report_on(&owner, body, false)
                .await
                .map_or(Beat::Unavailable, Beat::Passed),
            other => other,
        }
    }

    /// Whether the state service serves others and not this controller.
    pub fn cut_off(&self) -> bool {
        let behind = self.behind_since.get();
        behind.is_some_and(|t| t.elapsed() >= CUT_OFF) && self.fresh_at.get().elapsed() >= CUT_OFF
    }

    /// Passes a user's request on to a controller that may be served.
    pub async fn pass_on(&self, kind: peer::Kind, text: &[u8]) -> Option<peer::Answered> {
        let leader = self.view.borrow().leader.value.clone().map(|l| l.node);
        let mut others: Vec<NodeId> = self.peers.reachable().cloned().collect();
        others.sort_by_key(|n| (Some(n) != leader.as_ref(), n.clone()));
        for other in others.iter().take(2) {
            let answered = self.peers.pass_on(other, kind, text.to_vec()).await;
            if let Some(answered) = answered.filter(|(status, _)| *status != 503) {
                return Some(answered);
            }
        }
        None
    }

    /// Takes a worker's report as the block's owner.
    pub fn own_beat(self: &Rc<Self>, report: &Report, source: Source) -> Beat {
        let now = self.now();
        // Beyond this, a job may have been cancelled without this controller
        // knowing, and its tasks must end in time: by their lease, at worst.
        let horizon = (self.cfg.cancel_s - self.cfg.lease_s - 3.0).max(1.0);
        let stale = self.fresh_at.get().elapsed().as_secs_f64() > horizon;
        let mut core = self.core.borrow_mut();
        let mut reply = None;
        if let Some(c) = core.as_mut() {
            if !c.report(report, source, now) {
                drop(core);
                self.deposed();
                return Beat::Unavailable;
            }
            if !stale {
                c.walk(&report.machine, now);
                reply = Some(c.reply(&report.machine, &self.view.borrow(), now));
            }
        }
        let leading = core.is_some();
        drop(core);
        if leading {
            self.drive();
            return reply.map_or(Beat::Unavailable, Beat::Reply);
        }
        match &self.view.borrow().leader.value {
            Some(l) if l.node != self.cfg.node => Beat::Elsewhere(l.node.clone()),
            _ => Beat::Unavailable,
        }
    }

    // ---- users ----------------------------------------------------------

    /// Why a job can never run, if that is so; none if it can't be told yet.
    fn never(&self, spec: &JobSpec) -> Option<Option<&'static str>> {
        let Some(team) = self.cfg.teams.iter().find(|t| t.name == spec.team) else {
            return Some(Some("unknown team"));
        };
        let at_once = match spec.kind {
            Kind::Array => 1,
            Kind::Service => i64::from(spec.tasks),
        };
        if !spec.each.times(at_once).fits_team(team.limit) {
            return Some(Some("more than the team's limit"));
        }
        let types = self.types.borrow();
        if types.is_empty() {
            return None;
        }
        let fits = types.iter().any(|t| {
            spec.each.fits(t.total)
                && spec.types.as_ref().is_none_or(|l| l.contains(&t.name))
                && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
        });
        Some((!fits).then_some("a task fits no allowed machine type"))
    }

    /// What users see of a job, as of now; none if that can't be confirmed.
    pub async fn status(&self, id: &JobId) -> Option<Option<Summary>> {
        {
            let view = self.view.borrow();
            if let Some(s) = view.summary(id).filter(|s| s.phase != Phase::Live) {
                return Some(Some(s));
            }
        }
        self.fresh().await.then(|| self.view.borrow().summary(id))
    }

    /// Takes a job.
    pub async fn submit(
        &self,
        id: &JobId,
        spec: Result<JobSpec, &'static str>,
    ) -> Result<Submitted, &'static str> {
        let refusal = match &spec {
            Err(why) => Some(Err(*why)),
            Ok(spec) => match self.never(spec) {
                None => Some(Ok(Submitted::Unavailable)),
                Some(why) => why.map(|w| Ok(Submitted::Never(w))),
            },
        };
        let known = self.view.borrow().job(id).is_some();
        if known || refusal.is_some() {
            // A job that is known is never refused, so look before refusing.
            match self.status(id).await {
                None => return Ok(Submitted::Unavailable),
                Some(Some(summary)) => return Ok(Submitted::Known(summary)),
                Some(None) => {}
            }
        }
        if let Some(refusal) = refusal {
            return refusal;
        }
        let Ok(spec) = spec else {
            return Ok(Submitted::Unavailable);
        };
        if self.submissions.get() >= MOST_SUBMISSIONS || !self.view.borrow().loaded {
            return Ok(Submitted::Unavailable);
        }
        self.submissions.set(self.submissions.get() + 1);
        let result = self.accept(id, spec).await;
        self.submissions.set(self.submissions.get() - 1);
        Ok(result)
    }

    /// A job's record was written by this controller: it and the others see it.
    fn recorded(&self, id: &JobId, revision: Revision, record: JobRecord) {
        let record = Versioned {
            stamp: revision,
            value: record,
        };
        self.view.borrow_mut().put_job(id, record);
        self.peers.announce(revision);
        self.view_changed();
    }

    async fn accept(&self, id: &JobId, spec: JobSpec) -> Submitted {
        let record = JobRecord::accepted(spec, wall_ms(), self.cfg.value_bytes);
        let txn = Txn {
            when: vec![When {
                key: job_key(id),
                stamp: Revision(0),
            }],
            apply: vec![Change::write(job_key(id), &record, None)],
        };
        match self
            .state
            .txn(&txn, Urgency::Within(Duration::from_millis(800)))
            .await
        {
            Ok(Outcome::Done(revision)) => {
                self.recorded(id, revision, record);
                Submitted::Accepted
            }
            Ok(Outcome::Failed(_)) => match self.status(id).await {
                Some(Some(summary)) => Submitted::Known(summary),
                _ => Submitted::Unavailable,
            },
            Err(error) => {
                tracing::debug!(job = %id, %error, "submission");
                Submitted::Unavailable
            }
        }
    }

    /// Cancels a job. Some(None): there is no such job. None: not decided.
    pub async fn cancel(&self, id: &JobId) -> Option<Option<Phase>> {
        for _ in 0..4 {
            let summary = match self.status(id).await? {
                None => return Some(None),
                Some(s) => s,
            };
            if summary.phase != Phase::Live {
                return Some(Some(summary.phase));
            }
            let (stamp, record) = {
                let view = self.view.borrow();
                let held = &view.job(id)?.record;
                (
                    held.stamp,
                    JobRecord {
                        phase: Phase::Cancelled,
                        ..held.value.clone()
                    },
                )
            };
            let txn = Txn {
                when: vec![When {
                    key: job_key(id),
                    stamp,
                }],
                apply: vec![Change::write(job_key(id), &record, None)],
            };
            match self
                .state
                .txn(&txn, Urgency::Within(Duration::from_millis(800)))
                .await
            {
                Ok(Outcome::Done(revision)) => {
                    tracing::info!(job = %id, "cancelled");
                    self.recorded(id, revision, record);
                    return Some(Some(Phase::Cancelled));
                }
                // Done, or cancelled by another request, in the meantime.
                Ok(Outcome::Failed(_)) => {}
                Err(_) => return None,
            }
        }
        None
    }
}
