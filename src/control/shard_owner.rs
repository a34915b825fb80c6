//! The loops of a shard owner that drive its core.

use std::rc::Rc;
use std::time::Duration;

use sorrelhinge_sharding::shard::ShardId;
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::core::{Core, Dispatch};
use super::paces::Duty;
use super::Node;
use crate::agent_client::{send_commands, Sending};
use crate::types::Time;

/// Interval between runs of a shard owner's periodic work that is not urgent.
pub(super) const OWNER_TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Duration from which a periodic scan of the whole fleet is logged, in seconds. All other work of
/// the controller waits during such a scan.
const SLOW_DUTY_S: f64 = 0.4;

impl Node {
    /// Runs the due work of the owned cores: placement of waiting tasks, recording and commands.
    pub(super) fn run_due_work(self: &Rc<Self>) {
        let now = self.now();
        let mut cores = self.shards.owned_mut();
        let walks = self.paces.due(Duty::FillMachines, now);
        let starts_allowed_until = self.starts_allowed_until();
        // An unrenewed lease expires, but the machine's next incarnation accepts starts again. A
        // start command sent then may belong to a job that was cancelled elsewhere long before.
        let may_command = self.knows_all_cancellations();
        let mut sends = Vec::new();
        for (shard, c) in cores.iter_mut() {
            c.allow_starts_until(starts_allowed_until, now);
            if walks {
                self.run_timed_duty(Duty::FillMachines, || c.place(now));
            }
            self.place_all(c, now);
            if c.has_urgent() {
                self.wakeups.wake_recording();
            }
            if !may_command {
                continue;
            }
            let dispatches = c.dispatch(&self.store.view(), now);
            sends.extend(dispatches.into_iter().map(|send| (*shard, send)));
        }
        drop(cores);
        for (shard, send) in sends {
            spawn_local(self.clone().command(shard, send));
        }
    }

    /// Sends commands to a machine, and applies the outcome.
    async fn command(self: Rc<Self>, shard: ShardId, send: Dispatch) {
        let outcome = match send_commands(send.addr, &send.commands).await {
            // The address now belongs to another machine.
            Sending::Executed(r) | Sending::Refused(r) if r.machine != send.machine => {
                Sending::NotSent
            }
            outcome => outcome,
        };
        let now = self.now();
        let reached = matches!(outcome, Sending::Executed(_) | Sending::Refused(_));
        let grant_holds = self
            .shards
            .owned_mut()
            .get_mut(shard)
            .filter(|c| c.grant == send.commands.fencing_token.grant())
            .map(|c| c.dispatched(&send.machine, outcome, now));
        // A failure of an earlier grant is no evidence about the next time that this controller
        // owns the shard.
        match (reached, grant_holds) {
            (true, _) => self.leadership.worker_reached(),
            (false, Some(_)) => self.leadership.command_failed(&send.machine, now),
            (false, None) => {}
        }
        if grant_holds == Some(false) {
            self.step_down_superseded(shard);
        }
        self.run_due_work();
    }

    /// Tries to place every waiting job on the best machine, if this scan is due.
    fn place_all(&self, core: &mut Core, now: Time) {
        if core.place_all_is_due() && self.paces.due(Duty::Place, now) {
            self.run_timed_duty(Duty::Place, || core.place_all(now));
        }
    }

    /// Runs a periodic scan of the whole fleet, and records how long it took.
    pub(super) fn run_timed_duty<R>(&self, duty: Duty, work: impl FnOnce() -> R) -> R {
        let begun = Instant::now();
        let result = work();
        let cost = begun.elapsed().as_secs_f64();
        self.paces.done(duty, cost, self.load.wait_s(), self.now());
        self.load.counts.duty_took(cost);
        if cost >= SLOW_DUTY_S {
            tracing::info!(
                duty = duty.name(),
                cost_s = (cost * 100.0).round() / 100.0,
                "long duty"
            );
        }
        result
    }

    /// Advances the clock of the owned shards, and runs the periodic work that is due.
    pub(super) async fn run_placement(self: Rc<Self>) {
        let mut last = Instant::now();
        loop {
            self.wakeups.owner_woken(OWNER_TICK_INTERVAL).await;
            if last.elapsed() >= OWNER_TICK_INTERVAL {
                last = Instant::now();
                let now = self.now();
                // A controller that took ownership again, because no other one did, keeps it.
                // If no controller reaches the workers, ownership would otherwise circulate
                // among them forever.
                let may_resign = !self.leadership.defers_to_others();
                if may_resign && self.leadership.is_cut_off(now) {
                    self.resign("workers can't be reached from here").await;
                }
                let preempts = self.paces.due(Duty::Preempt, now);
                for c in self.shards.owned_mut().values_mut() {
                    c.tick(now);
                    // Placement runs first: a task that has a place needs no preemption.
                    self.place_all(c, now);
                    if preempts {
                        self.run_timed_duty(Duty::Preempt, || c.preempt(now));
                    }
                }
            }
            self.run_due_work();
        }
    }
}
