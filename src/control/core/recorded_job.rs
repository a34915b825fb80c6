//! Conversion of recorded jobs into jobs of the cluster state. It happens at a takeover, when a
//! job arrives or becomes ready, and when another shard delegates tasks of a job to this shard.

use std::rc::Rc;

use super::objectives::JobTimes;
use super::Core;
use crate::scheduler::{Claim, ClusterState, Job, Laned, Progress, Sent, Suspicion, Tasks};
use crate::state::record::ChunkId;
use crate::state::record::{ChunkRecord, JobRecord, Phase, RecordedClaim};
use crate::state::view::{JobEntry, View};
use crate::types::{Attempt, JobId, JobSpec, Kind, MachineId, TaskId, Time};
use sorrelhinge_topology::devices::Unit;

/// Returns the times that a job's objectives count from, converted from the wall-clock times in
/// the records.
pub(super) fn job_times(
    view: &View,
    id: &JobId,
    record: &JobRecord,
    now: Time,
    wall_ms: u64,
) -> JobTimes {
    let pipelines = view.pipelines();
    let seconds_ago = |at_ms: u64| (wall_ms as f64 - at_ms as f64) / 1000.0;
    let accepted = Time(now.0 - seconds_ago(record.accepted_ms).max(0.0));
    // An earlier version's record of a done job does not contain the completion time. Any job
    // that depends on such a job was submitted after it was done, so the dependent job counts as
    // ready since its own submission.
    let ready_ms = pipelines.ready_ms(id).max(record.accepted_ms);
    let finish_ms = pipelines.urgency(id).and_then(|u| u.finish_ms);
    JobTimes {
        accepted,
        ready: Time(now.0 - seconds_ago(ready_ms).max(0.0)),
        latest_finish: finish_ms.map(|at| now.after((at as f64 - wall_ms as f64) / 1000.0)),
    }
}

/// A new owner suspects a job to be faulty after as many failed attempts as the job has tasks. This
/// number of attempts has these two bounds.
const MIN_FAILED_ATTEMPTS: u32 = 3;
const MAX_FAILED_ATTEMPTS: u32 = 8;
/// Number of failures that a new owner counts at first for a job that it suspects to be faulty.
const SUSPECTED_FAILURES: u32 = 2;

/// A claim of one task that was found in a job's record.
struct FoundClaim {
    index: u32,
    attempt: Attempt,
    machine: MachineId,
    /// Devices of the machine that the task holds. `None` if the record lists none, because an
    /// earlier version wrote the record.
    units: Option<Vec<Unit>>,
}

impl FoundClaim {
    /// Returns the claim of the task `index`. Adds the units (devices of the machine, such as one
    /// GPU) that the chunk's record lists for the task.
    fn new(index: u32, claim: &RecordedClaim, chunk: &ChunkRecord) -> Self {
        let units = chunk.units.iter().find(|u| u.place == claim.place);
        Self {
            index,
            attempt: claim.attempt,
            machine: claim.machine.clone(),
            units: units.map(|u| u.units.clone()),
        }
    }

    /// Converts to a claim of the cluster state. `uses_devices` is true if the job's tasks hold
    /// devices, whether the record names them or not.
    fn into_claim(self, uses_devices: bool, now: Time) -> Claim {
        Claim {
            attempt: self.attempt,
            machine: self.machine,
            since: now,
            committed: true,
            sent: Sent::Found,
            progress: Progress::Unseen,
            stop: None,
            unnamed: uses_devices && self.units.is_none(),
            units: self.units.unwrap_or_default(),
        }
    }
}

/// State of a job's tasks, as the records of the job state it.
struct RecordedTasks {
    tasks: Tasks,
    /// Claims on this shard's machines.
    claims: Vec<FoundClaim>,
}

impl RecordedTasks {
    /// Returns whether a job is suspected to be faulty, because many attempts failed and no task
    /// is done. Attempts that ended for other reasons say nothing about the job.
    fn suggests_faulty(&self, spec: &JobSpec) -> bool {
        spec.kind == Kind::Array
            && self.tasks.done() == 0
            && self.tasks.all_failed_attempts()
                >= spec.tasks.clamp(MIN_FAILED_ATTEMPTS, MAX_FAILED_ATTEMPTS)
    }

    /// Returns whether any task was ever placed, as far as the records show.
    fn started(&self) -> bool {
        !self.claims.is_empty() || self.tasks.done() > 0
    }
}

/// A recorded job, converted for the cluster state.
struct RecordedJob {
    job: Job,
    /// Claims on this shard's machines.
    claims: Vec<FoundClaim>,
}

impl Core {
    /// Adds a recorded job to the cluster state, unless it waits for dependencies. A waiting job
    /// therefore does not count in limits, shares, queues, aging or renting. None of its tasks
    /// is claimed until the committed records of all its dependencies state that these are done.
    pub(super) fn load_job(&mut self, view: &View, id: &JobId, now: Time, wall_ms: u64) {
        let Some(entry) = view.job(id) else { return };
        let record = &entry.record.value;
        if record.phase == Phase::Live && !view.is_ready(id) {
            return;
        }
        let over = record.phase != Phase::Live;
        // All tasks of a done job have ended, even if a chunk that is not deleted yet still has
        // claims.
        if record.phase == Phase::Done || over && !self.has_claims_in_shard(entry) {
            if self.scope.homes(id) {
                self.drop_chunks(id, entry, now);
            }
            return;
        }
        let found = self.recorded_tasks(id, entry, now);
        let all_done = found.tasks.all_done();
        let times = job_times(view, id, record, now, wall_ms);
        let Some(RecordedJob { job, claims }) = self.recorded_job(view, id, found, &times, now)
        else {
            return;
        };
        let placed_here = !over && self.scope.homes(id);
        self.put_job(id, job, placed_here, now);
        self.put_claims(id, claims, now);
        self.apply_foreign_claims(id, entry);
        if all_done && placed_here {
            self.queue_finished(id.clone(), now);
        }
        // A gang of which only some tasks are claimed has to restart, so the job is checked.
        self.gangs_to_check.add(id.clone());
        self.placement_queue.request_full_walk();
    }

    /// Puts a job into the cluster state. `placed_here` is true if this shard places the job and
    /// the job is not over.
    fn put_job(&mut self, id: &JobId, job: Job, placed_here: bool, now: Time) {
        if placed_here {
            let counts = self.served_log.job_counts_mut();
            counts.accepted(&job.sort());
            if job.started {
                counts.started(&job.sort(), None);
            }
        }
        let last_placed = job.started.then_some(now);
        let job = Job { last_placed, ..job };
        self.cluster_state.add_job(id.clone(), job);
        if placed_here {
            self.log_largest_arrived(id, now);
        }
    }

    /// Puts the claims of a job that was just added into the cluster state.
    fn put_claims(&mut self, id: &JobId, claims: Vec<FoundClaim>, now: Time) {
        // A record that an earlier version wrote lists no devices, so the job's placement tells
        // whether its tasks hold devices.
        let job = self.cluster_state.job(id);
        let placement = job.and_then(|j| j.spec.placement.as_ref());
        let uses_devices = placement.is_some_and(|w| w.lost || !w.devices.is_empty());
        for claim in claims {
            let task = TaskId {
                job: id.clone(),
                index: claim.index,
            };
            let claim = claim.into_claim(uses_devices, now);
            self.cluster_state.put_claim(&task, claim);
        }
    }

    /// Reads a job's tasks from its records. Claims on deleted machines are released, because
    /// their tasks ended with the machine whether the records say so or not.
    fn recorded_tasks(&mut self, id: &JobId, entry: &JobEntry, now: Time) -> RecordedTasks {
        let record = &entry.record.value;
        let mut found = RecordedTasks {
            tasks: Tasks::new(record.tasks, record.chunk),
            claims: Vec::new(),
        };
        for (chunk, stored) in entry.all_chunks() {
            found.tasks.set_next_attempt(chunk, stored.next_attempt);
            found
                .tasks
                .set_failed_attempts(chunk, stored.failed_attempts);
            for bit in (0..found.tasks.chunk_size()).filter(|bit| stored.done >> bit & 1 == 1) {
                found.tasks.set_done(chunk * record.chunk + bit);
            }
            let here = stored
                .claims
                .iter()
                .filter(|c| self.scope.covers(&c.machine));
            for claim in here {
                let index = chunk * record.chunk + claim.place;
                if self.tombstones.is_inherited(&claim.machine) {
                    self.write_queue.released(ChunkId::new(id, chunk), now);
                } else if index < record.tasks {
                    found.claims.push(FoundClaim::new(index, claim, stored));
                }
            }
        }
        found
    }

    /// Returns the job for the cluster state and its claims. Returns `None` if its record has no
    /// description or its team is unknown.
    fn recorded_job(
        &self,
        view: &View,
        id: &JobId,
        found: RecordedTasks,
        times: &JobTimes,
        now: Time,
    ) -> Option<RecordedJob> {
        let entry = view.job(id)?;
        let record = &entry.record.value;
        let Some(spec) = record.description() else {
            tracing::error!(job = %id, "record has no description");
            return None;
        };
        let team = self.team_of(id, &spec)?;
        let spec = Rc::new(spec);
        tracing::debug!(job = %id, class = %spec.class, team = %spec.team, tasks = spec.tasks, image = %spec.image.as_str(), "job added");
        let suspicion = found.suggests_faulty(&spec).then(|| Suspicion::new(now));
        if suspicion.is_some() {
            tracing::info!(job = %id, failed_attempts = found.tasks.all_failed_attempts(), "job suspected");
        }
        let topology = self.cluster_state.topology().map(|t| &**t);
        let failures = suspicion.map_or(0, |_| SUSPECTED_FAILURES);
        let mut job = Job {
            lane: self.lane_of(&spec, entry),
            suspicion,
            failures,
            cancelled: record.phase == Phase::Cancelled,
            start_within: self.starts_within(&spec.class),
            policy: ClusterState::policy_of(topology, &spec),
            started: found.started(),
            ..Job::new(spec, team, times.ready, found.tasks)
        };
        let inherited = view.pipelines().urgency(id);
        self.urgency(&job.spec, times, inherited).apply(&mut job);
        Some(RecordedJob {
            job,
            claims: found.claims,
        })
    }

    /// Returns a job's priority lane and its place there, or `None` if its class has no lanes.
    fn lane_of(&self, spec: &JobSpec, entry: &JobEntry) -> Option<Laned> {
        let lanes = &self.cfg.lanes;
        let lane = lanes.of(&spec.class, spec.priority, spec.deadline_s.is_some());
        lane.map(|lane| Laned::new(lane, entry.place))
    }

    /// Returns the index of a job's team in the settings, or `None` if the settings have no such
    /// team.
    fn team_of(&self, id: &JobId, spec: &JobSpec) -> Option<usize> {
        let mut teams = self.cfg.teams.iter();
        let team = teams.position(|t| t.name == spec.team);
        if team.is_none() {
            tracing::error!(job = %id, team = %spec.team, "unknown team");
        }
        team
    }
}
