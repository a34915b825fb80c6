//! The shard owner's duties: the loops that drive the core.

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

/// How often what is not urgent is looked at.
pub(super) const TICK: Duration = Duration::from_millis(200);
/// A look at the whole fleet that takes so long, in seconds, is told of in the
/// log: everything else waits for it.
const LONG_DUTY_S: f64 = 0.4;

impl Node {
    /// Runs what is due on the core: walks, recording, commands.
    pub(super) fn drive(self: &Rc<Self>) {
        let now = self.now();
        let mut cores = self.shards.owned_mut();
        let walks = self.paces.due(Duty::Walk, now);
        let starts_until = self.starts_until();
        // A lease that nobody renews ends, but the next incarnation takes starts again:
        // one of a job that was cancelled elsewhere, long ago by then.
        let may_command = self.knows_all_cancellations();
        let mut sends = Vec::new();
        for (shard, c) in cores.iter_mut() {
            c.allow_starts_until(starts_until, now);
            if walks {
                self.timed(Duty::Walk, || c.place(now));
            }
            self.place_all(c, now);
            if c.has_urgent() {
                self.wakeups.wake_recording();
            }
            if !may_command {
                continue;
            }
            let some = c.dispatch(&self.store.view(), now);
            sends.extend(some.into_iter().map(|send| (*shard, send)));
        }
        drop(cores);
        for (shard, send) in sends {
            spawn_local(self.clone().command(shard, send));
        }
    }

    /// Sends commands to a machine, and takes what came of them.
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
        let mine = self
            .shards
            .owned_mut()
            .get_mut(shard)
            .filter(|c| c.grant == send.commands.fencing_token.grant())
            .map(|c| c.dispatched(&send.machine, outcome, now));
        // What fails for an owner that is none any more says nothing of
        // the next time that it is one.
        match (reached, mine) {
            (true, _) => self.leadership.worker_reached(),
            (false, Some(_)) => self.leadership.command_failed(&send.machine, now),
            (false, None) => {}
        }
        if mine == Some(false) {
            self.superseded(shard);
        }
        self.drive();
    }

    /// Offers all waiting jobs the best machine, if that is due.
    fn place_all(&self, core: &mut Core, now: Time) {
        if core.place_all_is_due() && self.paces.due(Duty::Place, now) {
            self.timed(Duty::Place, || core.place_all(now));
        }
    }

    /// Does a duty that looks at the whole fleet, and notes what it took.
    pub(super) fn timed<R>(&self, duty: Duty, work: impl FnOnce() -> R) -> R {
        let begun = Instant::now();
        let result = work();
        let cost = begun.elapsed().as_secs_f64();
        self.paces.done(duty, cost, self.load.wait_s(), self.now());
        self.load.counts.duty_took(cost);
        if cost >= LONG_DUTY_S {
            tracing::info!(
                duty = duty.name(),
                cost_s = (cost * 100.0).round() / 100.0,
                "long duty"
            );
        }
        result
    }

    /// Lets time pass on the owned shards, and does what is due by it.
    pub(super) async fn run_placement(self: Rc<Self>) {
        let mut last = Instant::now();
        loop {
            self.wakeups.owner_woken(TICK).await;
            if last.elapsed() >= TICK {
                last = Instant::now();
                let now = self.now();
                // Who took it up again as no other did keeps it: where nobody
                // reaches the workers it would go round and round.
                let fit = !self.leadership.defers_to_others();
                if fit && self.leadership.is_cut_off(now) {
                    self.resign("workers can't be reached from here").await;
                }
                let preempts = self.paces.due(Duty::Preempt, now);
                for c in self.shards.owned_mut().values_mut() {
                    c.tick(now);
                    // What has a place needs nobody stopped.
                    self.place_all(c, now);
                    if preempts {
                        self.timed(Duty::Preempt, || c.preempt(now));
                    }
                }
            }
            self.drive();
        }
    }
}
