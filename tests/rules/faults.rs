//! Faults that meet decisions: the state service out of reach, other controllers,
//! transactions and reports that come late, machines that hang.

use std::fmt::Write as _;

use rand::Rng;
use serde_json::Value;
use sorrelhinge::agent_client::Heartbeat;
use sorrelhinge::control::core::Source;
use sorrelhinge::control::lease_delegation::may_renew_for_owner;
use sorrelhinge::state::record::job_key;
use sorrelhinge::state::view::View;
use sorrelhinge::types::{JobId, Time};
use sorrelhinge_lease_safety::freshness::Freshness;

use crate::*;

/// A transaction that is carried out late, its sender long without an answer.
pub(crate) struct LateTxn {
    due: f64,
    transaction: Value,
}

/// A controller that owns nothing, and is served while the state service is up.
pub(crate) struct Helper {
    pub(crate) view: View,
    pub(crate) freshness: Freshness,
}

/// The faults of a world.
pub(crate) struct Faults {
    /// Whether they are drawn at random.
    pub(crate) drawn: bool,
    /// Until then the state service serves nobody.
    pub(crate) outage_until: f64,
    /// The part of the transactions that is carried out late, unanswered.
    pub(crate) late_part: f64,
    pub(crate) late_txns: Vec<LateTxn>,
    /// The part of the direct commands that is held back.
    pub(crate) held_part: f64,
    /// Late transactions whose conditions still held.
    pub(crate) late_applied: usize,
    /// Every heartbeat is kept, for later.
    pub(crate) keeps: bool,
    /// Heartbeats that each new owner gets before anything else.
    pub(crate) kept: Vec<Heartbeat>,
    /// Workers heartbeat to the first owner that is left, though it is deposed.
    pub(crate) to_first: bool,
    pub(crate) helper: Helper,
    /// Owners stand still for so long after their transactions, before they command
    /// anything.
    pub(crate) stop_after_record_s: f64,
    /// Leases that the helper renewed.
    pub(crate) renewed: usize,
    /// Transactions that the state service rejected for their size.
    pub(crate) rejected: usize,
    /// How long after its job was cancelled the last start came, in seconds.
    pub(crate) last_start_s: f64,
    schedule: String,
}

impl Default for Faults {
    fn default() -> Self {
        let mut view = View::default();
        view.replace(sorrelhinge::types::Revision(0), Vec::new());
        Self {
            drawn: false,
            outage_until: 0.0,
            late_part: 0.0,
            late_txns: Vec::new(),
            held_part: 0.0,
            late_applied: 0,
            keeps: false,
            kept: Vec::new(),
            to_first: false,
            helper: Helper {
                view,
                freshness: Freshness::replaced(Time(0.0)),
            },
            stop_after_record_s: 0.0,
            renewed: 0,
            rejected: 0,
            last_start_s: 0.0,
            schedule: String::new(),
        }
    }
}

impl Drop for Faults {
    /// A failing case tells what led to it.
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("faults, by seconds:\n{}", self.schedule);
        }
    }
}

impl World {
    /// Notes an event for the schedule of a failing case.
    pub(crate) fn note(&mut self, what: &str) {
        writeln!(self.faults.schedule, "{:7.1} {what}", self.now).expect("text");
    }

    pub(crate) fn in_outage(&self) -> bool {
        self.now < self.faults.outage_until
    }

    /// Whether the state service serves an owner.
    pub(crate) fn is_served(&self, owner: usize) -> bool {
        !self.in_outage() && self.now >= self.owners[owner].cut_until
    }

    /// Nobody is served for so many seconds.
    pub(crate) fn outage(&mut self, for_s: f64) {
        self.note(&format!("outage for {for_s} s"));
        self.faults.outage_until = self.now + for_s;
    }

    /// All present owners are refused by the state service for so many seconds.
    pub(crate) fn cut_owners(&mut self, for_s: f64) {
        self.note(&format!("owners refused for {for_s} s"));
        let until = self.now + for_s;
        for o in &mut self.owners {
            o.cut_until = until;
        }
    }

    /// Another controller confirms a cancellation, if it is served.
    pub(crate) fn confirm_cancelled(&mut self, id: &str) {
        let key = job_key(&JobId::from(id));
        if self.in_outage() || self.store.keys[&key].1["p"] != "l" {
            return;
        }
        self.note(&format!("{id} is cancelled"));
        self.write_cancelled(id);
        self.cancelled.insert(id.to_owned(), self.now);
    }

    /// Every job that runs or waits is cancelled through another controller.
    pub(crate) fn confirm_all_cancelled(&mut self) {
        for id in self.jobs.keys().cloned().collect::<Vec<_>>() {
            self.confirm_cancelled(&id);
        }
    }

    /// Keeps a transaction for later, if that is its lot.
    pub(crate) fn delays(&mut self, transaction: &Value) -> bool {
        let part = self.faults.late_part;
        if part == 0.0 || !self.rng.random_bool(part) {
            return false;
        }
        let due = self.now + self.rng.random_range(2.0..12.0);
        self.note(&format!("a transaction unanswered, due at {due:.1}"));
        let transaction = transaction.clone();
        self.faults.late_txns.push(LateTxn { due, transaction });
        true
    }

    /// Carries out the late transactions that are due, and has the helper follow.
    pub(crate) fn serve_others(&mut self) {
        if self.in_outage() {
            return;
        }
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.faults.late_txns)
            .into_iter()
            .partition(|late| late.due <= now);
        self.faults.late_txns = later;
        for late in due {
            let done = self.store.transact(&late.transaction);
            let applied = matches!(done, sorrelhinge::state::TransactionOutcome::Done(_));
            self.faults.late_applied += usize::from(applied);
        }
        let helper = &mut self.faults.helper;
        if self.store.follow(&mut helper.view) {
            helper.freshness = helper.freshness.read(Time(now));
        }
        helper.view.take_changed();
    }

    /// A report that reaches no owner reaches the helper.
    pub(crate) fn renew_in_stead(&mut self, at: usize, heartbeat: &Heartbeat) {
        let helper = &self.faults.helper;
        let may = helper
            .freshness
            .may_answer_workers(Time(self.now), LEASE_S, CANCEL_S);
        if may
            && may_renew_for_owner(&helper.view, heartbeat)
            && self.workers[at].silence_ignored_until <= self.now
        {
            self.workers[at].renewed = self.now;
            self.faults.renewed += 1;
        }
    }

    /// A report that comes late, to every owner; nobody takes the answers.
    pub(crate) fn deliver_late(&mut self, heartbeat: &Heartbeat) {
        let now = Time(self.now);
        for o in &mut self.owners {
            if o.core.scope.covers(&heartbeat.machine)
                && o.core.heartbeat(heartbeat, Source::Heartbeat, now)
            {
                o.core.place_on(&heartbeat.machine, now);
                let reply = o.core.reply(&heartbeat.machine, &o.view, now);
                self.trace.fold_json(heartbeat.machine.as_str(), &reply);
            }
        }
    }

    /// The new owners get what was kept for them.
    pub(crate) fn deliver_kept(&mut self) {
        for heartbeat in std::mem::take(&mut self.faults.kept) {
            self.deliver_late(&heartbeat);
        }
    }

    /// A machine hangs: it heartbeats, hears and does nothing, and its lease runs on.
    pub(crate) fn hang(&mut self, at: usize, for_s: f64) {
        let id = self.workers[at].id.clone();
        self.note(&format!("{id} hangs for {for_s:.1} s"));
        let w = &mut self.workers[at];
        w.hangs_until = self.now + for_s;
        w.silent_until = w.silent_until.max(w.hangs_until);
    }

    /// For how long a command is held back on its way and then carried out, if it is:
    /// by a machine that hangs, between owners and workers that are apart, or by chance.
    pub(crate) fn held_back_s(&mut self, owner: usize, id: &str) -> Option<f64> {
        let apart_s = self.owners[owner].apart_until - self.now;
        if apart_s > 0.0 {
            return Some(apart_s);
        }
        let w = self.workers.iter().find(|w| w.id == id)?;
        let hangs_s = w.hangs_until - self.now;
        if hangs_s > 0.0 {
            return Some(hangs_s);
        }
        let part = self.faults.held_part;
        let held = part > 0.0 && self.rng.random_bool(part);
        held.then(|| self.rng.random_range(2.0..16.0))
    }

    /// Draws what goes wrong next.
    pub(crate) fn draw_faults(&mut self) {
        if !self.faults.drawn || !self.rng.random_bool(0.06) {
            return;
        }
        let at = self.rng.random_range(0..self.workers.len());
        let for_s = self.rng.random_range(1.0..25.0);
        match self.rng.random_range(0..11) {
            0 if !self.in_outage() => self.outage(for_s * 3.0),
            1 => self.cut_owners(for_s),
            2 => self.hang(at, for_s),
            3 => self.mute(at, for_s),
            4 => self.cancel_in_gap(),
            5 => self.faults.late_part = 0.3,
            6 => self.faults.late_part = 0.0,
            7 => self.keep_heartbeats(),
            9 => self.faults.held_part = 0.2 - self.faults.held_part,
            8 => self.separate_owners(for_s),
            _ => self.faults.to_first = !self.faults.to_first,
        }
    }

    /// Heartbeats of a machine are lost, while direct commands reach it.
    pub(crate) fn mute(&mut self, at: usize, for_s: f64) {
        let id = self.workers[at].id.clone();
        self.note(&format!("{id} is mute for {for_s:.1} s"));
        self.workers[at].mute_until = self.now + for_s;
    }

    /// The owners are refused, and a job is cancelled through another controller.
    fn cancel_in_gap(&mut self) {
        self.cut_owners(6.0);
        let ids: Vec<String> = self.jobs.keys().cloned().collect();
        if !ids.is_empty() {
            let id = &ids[self.rng.random_range(0..ids.len())];
            self.confirm_cancelled(id);
        }
    }

    /// The present heartbeats are kept for the next owner.
    pub(crate) fn keep_heartbeats(&mut self) {
        self.note("reports are kept for the next owner");
        let now = self.now;
        let workers = self.workers.iter_mut();
        let heard = workers.filter(|w| w.silent_until.max(w.mute_until) <= now);
        let heartbeats: Vec<Heartbeat> = heard.map(Worker::heartbeat).collect();
        self.faults.kept.extend(heartbeats);
    }

    /// Workers and present owners can't reach each other: commands are held back,
    /// heartbeats come to the helper.
    pub(crate) fn separate_owners(&mut self, for_s: f64) {
        self.note(&format!("owners apart from the workers for {for_s:.1} s"));
        let until = self.now + for_s;
        for o in &mut self.owners {
            o.apart_until = until;
        }
    }
}
