//! Direct commands that a worker has carried out and answered, and that reach it again.

use rand::Rng;
use serde_json::Value;
use sorrelhinge::agent_client::Sending;
use sorrelhinge::control::core::{Dispatch, MachineZones, ShardGrant, Source};
use sorrelhinge::types::Time;

use crate::*;

/// Longest delay of a copy, in leases.
const LONGEST_DELAY_LEASES: f64 = 4.0;
/// Most copies that arrive of one message.
const MAX_COPIES: u32 = 3;

/// Copy of direct commands on its way to a worker.
pub(crate) struct CommandCopy {
    due: f64,
    machine: String,
    commands: Value,
}

/// An attempt that a worker was told to forget.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ForgottenAttempt {
    pub(crate) machine: String,
    pub(crate) task: String,
    pub(crate) attempt: u64,
}

/// The copies of direct commands, and what workers made of them.
#[derive(Default)]
pub(crate) struct CommandCopies {
    /// Share of the commands carried out of which copies arrive later.
    pub(crate) share: f64,
    on_the_way: Vec<CommandCopy>,
    /// Copies that fencing token and incarnation allowed.
    pub(crate) accepted: usize,
    pub(crate) refused: usize,
}

impl World {
    /// Draws the copies of direct commands that a worker has carried out.
    pub(crate) fn draw_copies(&mut self, machine: &str, commands: &Value) {
        let share = self.command_copies.share;
        if share == 0.0 || !self.rng.random_bool(share) {
            return;
        }
        for _ in 0..self.rng.random_range(1..=MAX_COPIES) {
            // Half of the copies arrive within seconds, as an end of a task and its `forget` do.
            let longest_s = if self.rng.random_bool(0.5) {
                4.0
            } else {
                LONGEST_DELAY_LEASES * LEASE_S
            };
            let due = self.now + self.rng.random_range(0.0..longest_s);
            self.command_copies.on_the_way.push(CommandCopy {
                due,
                machine: machine.to_owned(),
                commands: commands.clone(),
            });
        }
    }

    /// Delivers the copies that are due. Nobody waits for their answers.
    pub(crate) fn deliver_command_copies(&mut self) {
        let now = self.now;
        let on_the_way = std::mem::take(&mut self.command_copies.on_the_way);
        let (due, later): (Vec<_>, Vec<_>) =
            on_the_way.into_iter().partition(|copy| copy.due <= now);
        self.command_copies.on_the_way = later;
        for copy in due {
            self.deliver_command_copy(&copy.machine, &copy.commands);
        }
    }

    /// Delivers one copy. Returns whether the worker accepted it.
    pub(crate) fn deliver_command_copy(&mut self, machine: &str, commands: &Value) -> bool {
        let accepted = matches!(self.carry_out_once(machine, commands), Some(Some(_)));
        if accepted {
            self.note(&format!("{machine} accepts a copy: {commands}"));
            self.command_copies.accepted += 1;
        } else {
            self.command_copies.refused += 1;
        }
        accepted
    }

    /// A machine is back at once, without its tasks and without the fencing token.
    pub(crate) fn restart_worker(&mut self, at: usize, next_incarnation: bool) {
        let id = self.workers[at].id.clone();
        self.note(&format!("{id} restarts"));
        let w = &mut self.workers[at];
        w.tasks.clear();
        w.fencing_token = 0;
        w.incarnation += u64::from(next_incarnation);
        w.renewed = self.now;
    }

    /// The newest owner lost its state, and owns the shard again by the same grant.
    fn own_again(&mut self) {
        let core = self.owners.pop().expect("an owner").core;
        let view = self.whole_view();
        let grant = ShardGrant {
            issued: Some(core.highest_fencing_token()),
            ..ShardGrant::whole(core.grant, view.grant.mod_revision)
        };
        let core = self.recover(&view, grant, None, MachineZones::default());
        self.add_owner(core, view);
    }

    /// Exchanges messages until a direct command with a start is on its way. Returns the command.
    fn until_start_sent(&mut self) -> (String, Value) {
        for _ in 0..60 {
            for send in self.decide() {
                let commands = serde_json::to_value(&send.commands).expect("orders");
                if !started_attempts("", &commands).is_empty() {
                    return (send.machine.as_str().to_owned(), commands);
                }
                self.execute(&send);
            }
        }
        panic!("nothing starts");
    }

    /// Exchanges heartbeats, answers and direct commands between the newest owner and all workers.
    /// Returns the direct commands.
    fn exchange(&mut self) -> Vec<Dispatch> {
        let sends = self.decide();
        for send in &sends {
            self.execute(send);
        }
        sends
    }

    /// Lets the newest owner take all heartbeats, decide and record. Returns its direct commands.
    fn decide(&mut self) -> Vec<Dispatch> {
        self.now += STEP_S;
        let now = Time(self.now);
        let o = self.owners.last_mut().expect("an owner");
        self.store.follow(&mut o.view);
        let changed = o.view.take_changed();
        o.core.jobs_changed(&o.view, &changed, now, 0);
        for at in 0..self.workers.len() {
            self.answered_heartbeat(at);
        }
        let o = self.owners.last_mut().expect("an owner");
        regular(&mut o.core, now);
        while let Some(batch) = o.core.next_batch(&o.view, 4, true, now) {
            commit(&mut self.store, &mut o.core, &mut o.view, batch, now);
        }
        o.core.dispatch(&o.view, now)
    }

    /// A worker carries out a direct command, and its owner gets the answer.
    fn execute(&mut self, send: &Dispatch) {
        let commands = serde_json::to_value(&send.commands).expect("orders");
        let outcome = match self.carry_out_once(send.machine.as_str(), &commands) {
            Some(Some(heartbeat)) => Sending::Executed(Box::new(heartbeat)),
            other => panic!("refused: {commands}, {}", other.is_some()),
        };
        let o = self.owners.last_mut().expect("an owner");
        o.core.dispatched(&send.machine, outcome, Time(self.now));
    }

    /// A worker's heartbeat reaches the newest owner, and the worker carries out the answer.
    fn answered_heartbeat(&mut self, at: usize) {
        let heartbeat = self.workers[at].heartbeat();
        let now = Time(self.now);
        let o = self.owners.last_mut().expect("an owner");
        assert!(o.core.heartbeat(&heartbeat, Source::Heartbeat, now));
        let reply = o.core.answer(&heartbeat, &o.view, now);
        let reply = serde_json::to_value(&reply).expect("reply");
        let fencing_token = reply["baton"].as_u64().expect("a token");
        if fencing_token >= self.workers[at].fencing_token {
            self.workers[at].fencing_token = fencing_token;
            self.workers[at].renewed = self.now;
            self.commands(at, &reply["orders"]);
        }
    }

    /// Exchanges messages until a direct command starts a task of the job. Returns the command.
    fn until_started(&mut self, job: &str) -> (String, Value) {
        for _ in 0..60 {
            for send in self.exchange() {
                let commands = serde_json::to_value(&send.commands).expect("orders");
                let orders = commands["orders"].as_array().expect("orders");
                let starts = |o: &Value| {
                    o["verb"] == "start" && o["piece"].as_str().is_some_and(|p| job_of(p) == job)
                };
                if orders.iter().any(starts) {
                    return (send.machine.as_str().to_owned(), commands);
                }
            }
        }
        panic!("{job} never starts");
    }

    /// Ends all tasks of a job on a machine, for the given reason.
    fn end_tasks(&mut self, machine: &str, job: &str, reason: &'static str) {
        let w = self.workers.iter_mut().find(|w| w.id == machine);
        let tasks = w.expect("the worker").tasks.iter_mut();
        for (_, task) in tasks.filter(|(name, _)| job_of(name) == job) {
            (task.phase, task.exit_reason) = ("ended", Some(reason));
        }
    }

    /// Exchanges messages until the machine has forgotten all attempts of the job that the
    /// commands start.
    fn until_forgotten(&mut self, machine: &str, commands: &Value) {
        let attempts = started_attempts(machine, commands);
        for _ in 0..60 {
            if attempts.iter().all(|a| self.forgotten.contains(a)) {
                return;
            }
            self.exchange();
        }
        panic!("never forgotten: {attempts:?}");
    }

    /// Delivers the commands again and again, and checks that nothing is carried out.
    fn assert_copies_do_nothing(&mut self, machine: &str, commands: &Value) {
        for _ in 0..20 {
            let starts = self.started;
            self.deliver_command_copy(machine, commands);
            assert_eq!(self.started, starts, "a copy started {commands}");
            self.exchange();
            self.check();
        }
    }
}

/// Returns the attempts that commands start on a machine.
fn started_attempts(machine: &str, commands: &Value) -> Vec<ForgottenAttempt> {
    let orders = commands["orders"].as_array().expect("orders").iter();
    let starts = orders.filter(|o| o["verb"] == "start");
    let attempt = |order: &Value| ForgottenAttempt {
        machine: machine.to_owned(),
        task: order["piece"].as_str().expect("piece").to_owned(),
        attempt: order["try"].as_u64().expect("try"),
    };
    starts.map(attempt).collect()
}

/// A calm world of three machines on which a job of one endless task has started. Returns the job,
/// and the machine and commands of its start.
fn started_job() -> (World, String, String, Value) {
    let mut world = calm(3);
    for _ in 0..10 {
        world.exchange();
    }
    let job = array(&mut world, 1, ENDLESS, 1);
    let (machine, commands) = world.until_started(&job);
    (world, job, machine, commands)
}

/// Incident of 2026-12-05: a copy of an executed start, after `forget`, beside the next attempt.
#[test]
fn a_copy_of_an_executed_start_does_not_run_a_failed_attempt_beside_the_next_one() {
    let (mut world, job, machine, commands) = started_job();
    world.end_tasks(&machine, &job, "error");
    let (other, _) = world.until_started(&job);
    assert_ne!(other, machine, "the next attempt avoids the machine");
    world.until_forgotten(&machine, &commands);
    world.assert_copies_do_nothing(&machine, &commands);
}

#[test]
fn a_copy_of_an_executed_start_does_not_run_a_moved_task_again() {
    let (mut world, job, machine, commands) = started_job();
    let at = world.workers.iter().position(|w| w.id == machine);
    world.workers[at.expect("the worker")].warned = true;
    let (other, _) = world.until_started(&job);
    assert_ne!(other, machine, "the task moves");
    world.until_forgotten(&machine, &commands);
    world.assert_copies_do_nothing(&machine, &commands);
}

#[test]
fn a_copy_of_an_executed_start_does_not_run_a_cancelled_task_again() {
    let (mut world, job, machine, commands) = started_job();
    world.confirm_cancelled(&job);
    world.until_forgotten(&machine, &commands);
    world.now += CANCEL_S;
    world.assert_copies_do_nothing(&machine, &commands);
}

#[test]
fn a_copy_of_a_refused_start_does_not_run_it_later() {
    for reason in ["full", "in_use", "no_such"] {
        let (mut world, job, machine, commands) = started_job();
        world.end_tasks(&machine, &job, reason);
        world.until_forgotten(&machine, &commands);
        world.assert_copies_do_nothing(&machine, &commands);
    }
}

#[test]
fn a_copy_of_an_executed_start_does_nothing_after_the_next_leader_forgot_it() {
    let (mut world, job, machine, commands) = started_job();
    world.begin_leadership();
    world.owners.remove(0);
    world.end_tasks(&machine, &job, "error");
    world.until_forgotten(&machine, &commands);
    world.assert_copies_do_nothing(&machine, &commands);
}

#[test]
fn a_copy_of_an_executed_start_does_nothing_once_its_owner_is_back_under_the_same_grant() {
    let (mut world, job, machine, commands) = started_job();
    world.own_again();
    world.end_tasks(&machine, &job, "error");
    world.until_forgotten(&machine, &commands);
    world.assert_copies_do_nothing(&machine, &commands);
}

#[test]
fn a_command_without_an_answer_is_fenced_once_its_owner_is_back_under_the_same_grant() {
    let mut world = calm(3);
    for _ in 0..10 {
        world.exchange();
    }
    array(&mut world, 1, ENDLESS, 1);
    let (machine, commands) = world.until_start_sent();
    world.own_again();
    for _ in 0..10 {
        world.exchange();
    }
    assert!(!world.deliver_command_copy(&machine, &commands));
    world.check();
}

#[test]
fn a_copy_of_an_executed_start_does_nothing_on_a_restarted_machine_that_was_contacted() {
    for next_incarnation in [true, false] {
        let (mut world, job, machine, commands) = started_job();
        let at = world.workers.iter().position(|w| w.id == machine);
        let at = at.expect("the worker");
        world.restart_worker(at, next_incarnation);
        // Nothing is started there again, as that would fence the copies as well.
        world.workers[at].warned = true;
        world.confirm_cancelled(&job);
        for _ in 0..10 {
            world.exchange();
        }
        world.assert_copies_do_nothing(&machine, &commands);
    }
}

#[test]
fn a_forget_does_not_make_the_agent_refuse_a_start_in_flight() {
    let (mut world, job, machine, commands) = started_job();
    world.end_tasks(&machine, &job, "done");
    array(&mut world, 2, ENDLESS, 3);
    let sends = world.decide();
    let is_start = |send: &&Dispatch| {
        let commands = serde_json::to_value(&send.commands).expect("orders");
        send.machine.as_str() == machine && !started_attempts(&machine, &commands).is_empty()
    };
    assert_eq!(sends.iter().filter(is_start).count(), 1, "{sends:?}");
    let at = world.workers.iter().position(|w| w.id == machine);
    world.answered_heartbeat(at.expect("the worker"));
    for send in &sends {
        world.execute(send);
    }
    world.until_forgotten(&machine, &commands);
}

#[test]
fn the_owner_notices_a_task_on_two_machines() {
    let (mut world, job, machine, commands) = started_job();
    let core = |world: &World| world.owners[0].core.tasks_on_two_machines();
    assert_eq!(core(&world), 0);
    let other = world.workers.iter_mut().find(|w| w.id != machine);
    let running = Running {
        units: Vec::new(),
        attempt: 100,
        phase: "running",
        exit_reason: None,
        left: f64::INFINITY,
    };
    let task = started_attempts(&machine, &commands).remove(0).task;
    assert_eq!(job_of(&task), job);
    other.expect("a worker").tasks.insert(task, running);
    world.exchange();
    assert_eq!(core(&world), 1);
    for _ in 0..10 {
        world.exchange();
    }
    assert_eq!(core(&world), 1, "the attempt without a claim is killed");
}

/// Copies beside all faults that are drawn, with one shard and several.
#[test]
fn no_forgotten_attempt_runs_again_while_executed_commands_arrive_again() {
    for seed in 500..512 {
        let mut world = World::of_shards(seed, false, 1 + seed as u32 % 3);
        world.faults.drawn = seed % 2 == 0;
        world.command_copies.share = 0.8;
        world.note(&format!("seed {seed}"));
        for _ in 0..500 {
            world.step(true);
        }
        assert!(world.started > 20, "nothing_ran: seed {seed}");
        let copies = &world.command_copies;
        assert!(copies.accepted + copies.refused > 50, "seed {seed}");
        let noticed = |o: &Owner| o.core.tasks_on_two_machines();
        let noticed: u64 = world.owners.iter().map(noticed).sum();
        assert_eq!(noticed, 0, "false alarm: seed {seed}");
    }
}
