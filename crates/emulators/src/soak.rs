//! A load of small jobs under faults, the same for a seed but for the timing: services and arrays,
//! many of them cancelled, starts that fail, copies of executed commands, controllers and machines
//! that are back at once, machines that hang, transactions and commands that come late.

mod troubles;

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

use crate::users::{Question, Users};
use crate::{World, CANCEL_S};

/// Time within which a job of the soak has to be over once it is cancelled or all can run.
const OVER_WITHIN_S: u64 = 60;
/// Longest time from a job's acceptance to its cancellation, in seconds.
const LATEST_CANCELLATION_S: f64 = 4.0;
/// Time without troubles at the beginning.
const FIRST_TROUBLE: Duration = Duration::from_secs(3);
/// Shortest and longest time between two troubles, in seconds.
const BETWEEN_TROUBLES_S: std::ops::Range<f64> = 1.0..4.0;

/// What a soak does.
#[derive(Clone, Debug)]
pub struct Soak {
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Time during which jobs are submitted.
    pub duration: Duration,
    /// Jobs a second.
    pub jobs_per_s: f64,
    /// Whether each job is an array of one task.
    pub one_task: bool,
    /// Share of the executed direct commands of which copies arrive.
    pub copied_share: f64,
    /// Share of the starts that fail.
    pub failing_share: f64,
    /// Share of the arrays that are cancelled. Services are cancelled in any case.
    pub cancelled_share: f64,
    /// Whether controllers, machines, commands and transactions have troubles.
    pub troubles: bool,
}

impl Soak {
    /// Returns a soak with all troubles.
    pub fn with_all_troubles(seed: u64, duration: Duration) -> Self {
        Self {
            seed,
            duration,
            jobs_per_s: 2.3,
            one_task: false,
            copied_share: 0.9,
            failing_share: 0.25,
            cancelled_share: 0.4,
            troubles: true,
        }
    }

    /// Returns a load of four jobs of one task a second, without troubles.
    pub fn one_task_load(seed: u64, duration: Duration) -> Self {
        Self {
            seed,
            duration,
            jobs_per_s: 4.0,
            one_task: true,
            copied_share: 0.0,
            failing_share: 0.0,
            cancelled_share: 0.0,
            troubles: false,
        }
    }
}

/// One job of a soak.
struct SoakJob {
    uid: String,
    fields: Value,
    cancelled_after: Option<Duration>,
}

/// What a soak found.
#[derive(Clone, Debug)]
pub struct Findings {
    /// Jobs that were submitted.
    pub jobs: usize,
    /// Starts that were executed.
    pub starts: usize,
    /// Copies of direct commands that workers executed.
    pub copies_executed: usize,
    /// Copies of direct commands that workers refused.
    pub copies_refused: usize,
    /// Rules that were broken.
    pub wrong: Vec<String>,
    /// Times from the answer of a submission to the first start, in ascending order.
    pub start_waits: Vec<Duration>,
    /// Heartbeats a machine and second.
    pub heartbeats_per_machine_s: f64,
    /// Direct calls a machine and second.
    pub direct_calls_per_machine_s: f64,
    /// Largest number of ended tasks that a worker reported.
    pub most_ended_tasks: usize,
}

impl Findings {
    /// Returns the wait that this share of the jobs did not exceed.
    pub fn start_wait(&self, share: f64) -> Duration {
        let last = self.start_waits.len().saturating_sub(1);
        let at = (share * last as f64).round() as usize;
        self.start_waits.get(at).copied().unwrap_or_default()
    }
}

/// Messages a machine and second while jobs were submitted.
struct MessageRates {
    heartbeats: f64,
    direct_calls: f64,
}

impl MessageRates {
    /// Returns the rates since the world began, `elapsed` before now.
    fn of(world: &World, elapsed: Duration) -> Self {
        let nodes = world.nodes.borrow();
        let machine_seconds = nodes.names_up().len() as f64 * elapsed.as_secs_f64();
        Self {
            heartbeats: nodes.figures.heartbeats as f64 / machine_seconds,
            direct_calls: nodes.figures.direct_calls as f64 / machine_seconds,
        }
    }
}

/// Runs a soak in a world that has a leader.
///
/// # Panics
/// If a job is not over in time, or a controller ends by itself.
pub async fn run(world: &mut World, soak: &Soak, controllers: usize) -> Findings {
    let users = Users::new(world, controllers);
    {
        let mut nodes = world.nodes.borrow_mut();
        nodes.copy_commands(soak.copied_share, soak.seed);
        nodes.fail_starts(soak.failing_share, soak.seed);
    }
    let begun = Instant::now();
    let submitted = submit_jobs(world, soak, &users, controllers).await;
    let rates = MessageRates::of(world, begun.elapsed());
    troubles::end(world);
    let mut jobs = Vec::new();
    for one in submitted {
        jobs.push(one.await.expect("a user's routine ends"));
    }
    let uids: Vec<String> = jobs.iter().map(|job| job.uid.clone()).collect();
    let gone = |w: &World| w.all_gone(&uids);
    let within_s = CANCEL_S as u64;
    world.until("all tasks are gone", within_s, gone).await;
    findings(world, &users, &jobs, &rates)
}

/// Submits the jobs of a soak, with its troubles beside.
async fn submit_jobs(
    world: &mut World,
    soak: &Soak,
    users: &Users,
    controllers: usize,
) -> Vec<JoinHandle<Submitted>> {
    let mut rng = StdRng::seed_from_u64(soak.seed);
    let mut submitted = Vec::new();
    let begun = Instant::now();
    let mut next_trouble = FIRST_TROUBLE;
    while begun.elapsed() < soak.duration {
        let job = draw_job(soak, submitted.len(), &mut rng);
        world.job(&job.uid, job.fields.clone());
        submitted.push(spawn_local(user(users.clone(), job)));
        if soak.troubles && begun.elapsed() >= next_trouble {
            troubles::draw(world, &mut rng, controllers).await;
            let pause_s = rng.random_range(BETWEEN_TROUBLES_S);
            next_trouble = begun.elapsed() + Duration::from_secs_f64(pause_s);
        }
        sleep(Duration::from_secs_f64(1.0 / soak.jobs_per_s)).await;
    }
    submitted
}

/// Returns what was found, once all jobs are over.
fn findings(world: &World, users: &Users, jobs: &[Submitted], rates: &MessageRates) -> Findings {
    let nodes = world.nodes.borrow();
    let waits = jobs.iter().filter_map(|job| {
        let first = nodes.figures.first_starts.get(&job.uid)?;
        Some(first.saturating_duration_since(job.accepted))
    });
    let mut start_waits: Vec<Duration> = waits.collect();
    start_waits.sort();
    // The start of a cancelled job's task may have been under way.
    let cancelled = jobs.iter().filter(|job| job.cancelled).count();
    let violations = world.violations(cancelled);
    let mut wrong = nodes.wrong.clone();
    wrong.extend(users.answers.borrow().wrong.iter().cloned());
    wrong.extend(violations.iter().map(ToString::to_string));
    Findings {
        jobs: jobs.len(),
        starts: nodes.starts,
        copies_executed: nodes.command_copies.executed,
        copies_refused: nodes.command_copies.refused,
        wrong,
        start_waits,
        heartbeats_per_machine_s: rates.heartbeats,
        direct_calls_per_machine_s: rates.direct_calls,
        most_ended_tasks: nodes.figures.most_ended_tasks,
    }
}

/// Draws the next job.
fn draw_job(soak: &Soak, number: usize, rng: &mut StdRng) -> SoakJob {
    let uid = format!("run-{number:06}");
    let service = !soak.one_task && rng.random_bool(0.3);
    let tasks = if soak.one_task {
        1
    } else {
        rng.random_range(1..=4)
    };
    let fields = if service {
        json!({"shape": "standing", "pieces": tasks, "cpus": 0.5, "rank": "critical"})
    } else {
        json!({"pieces": tasks, "cpus": 0.5, "guess_s": rng.random_range(0.2..2.0)})
    };
    let cancelled = service || rng.random_bool(soak.cancelled_share);
    let cancelled_after =
        cancelled.then(|| Duration::from_secs_f64(rng.random_range(0.0..LATEST_CANCELLATION_S)));
    SoakJob {
        uid,
        fields,
        cancelled_after,
    }
}

/// A job whose user has been told that it is over.
struct Submitted {
    uid: String,
    /// Time of the answer to the submission.
    accepted: Instant,
    cancelled: bool,
}

/// Submits a job, cancels it if that is its lot, and asks until it is over.
async fn user(users: Users, job: SoakJob) -> Submitted {
    users
        .ask_until_answered(0, &job.uid, Question::Submit)
        .await;
    let accepted = Instant::now();
    if let Some(after) = job.cancelled_after {
        sleep(after).await;
        users
            .ask_until_answered(1, &job.uid, Question::Cancel)
            .await;
    }
    users.until_over(&job.uid, OVER_WITHIN_S).await;
    Submitted {
        uid: job.uid,
        accepted,
        cancelled: job.cancelled_after.is_some(),
    }
}
