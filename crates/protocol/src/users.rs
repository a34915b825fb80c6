//! Messages between users and controllers (PROTOCOL, "Users -> controller nodes").

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::types::{Amount, Image, JobId, JobSpec, Kind, Priority, TypeName, Zone};

/// Maximum number of tasks of a job.
const MAX_TASKS: u64 = 100_000;
/// Maximum number of tasks of a gang. One decision places all of them, so this limits the
/// size of a decision.
const MAX_GANG_TASKS: u64 = 2_000;

/// Status of a job, as users see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Id of the job that the status is of.
    #[serde(rename = "uid")]
    pub id: JobId,
    /// Phase of the job: `pending`, `running`, `done` or `cancelled`.
    pub phase: String,
    /// Number of the job's tasks that are done.
    #[serde(default)]
    pub done: u32,
    /// Number of the job's tasks that run.
    #[serde(default)]
    pub running: u32,
    /// Reason why the job waits, if it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub waits: Option<String>,
    /// Status within the pipeline, for a job in a pipeline that has not ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pipeline: Option<PipelineStatus>,
}

/// Dependencies of a job in a pipeline, and the values that the job inherits from the jobs
/// that need it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PipelineStatus {
    /// Jobs that this job waits for. The job is ready if there are none.
    #[serde(default)]
    pub waits_for: Vec<JobId>,
    /// Highest priority among this job and the jobs that need it.
    pub priority: Priority,
    /// Wall-clock time in milliseconds by which the job must be done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_by_ms: Option<i64>,
}

/// Body of a job in `POST /v1/jobs` (PROTOCOL, "POST /v1/jobs"), without its `uid`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireJob {
    /// Class of the job, as in the objectives of the settings.
    pub jobclass: String,
    /// Team that the job belongs to.
    pub crew: String,
    /// Kind of the job: `sweep` (array), `standing` (service) or `ensemble` (gang).
    pub shape: String,
    /// Priority of the job: `critical`, `high`, `normal` or `idle`.
    pub rank: String,
    /// Number of tasks that the job has.
    pub pieces: u64,
    /// Number of CPUs that each task of the job needs.
    pub cpus: f64,
    /// Number of GPUs that each task of the job needs.
    pub cards: f64,
    /// Memory that each task needs, in GB.
    pub ram_gb: f64,
    /// Name of the image that each task of the job needs.
    pub bundle: String,
    /// Size of the job's image, in GB.
    pub pull_gb: f64,
    /// Allowed machine types, or `None` if any type is allowed.
    pub builds: Option<Vec<String>>,
    /// Only allowed zone, or `None` if any zone is allowed.
    pub rack: Option<String>,
    /// Whether all tasks must run in one zone.
    pub together: bool,
    /// Whether at most half of the tasks may run in one zone.
    pub spread: bool,
    /// Whether the tasks may run on spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Estimated run time of a task in seconds.
    pub guess_s: f64,
    /// Interval between checkpoints of a task, in seconds.
    pub mark_s: f64,
    /// Time in seconds that a task needs to save its state when it is stopped.
    pub stash_s: f64,
    /// Deadline of the job, in seconds from submission.
    pub due_s: Option<f64>,
}

/// Parses a job id, or returns `None` if the text is not a valid one.
pub fn job_id(text: &str) -> Option<JobId> {
    let digits = text.strip_prefix("run-")?;
    let valid = (1..=40).contains(&digits.len())
        && digits
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b == b'-');
    valid.then(|| JobId::from(text))
}

/// Reads the ids of the jobs that a job depends on, without duplicates, from its field
/// `waits_on`.
///
/// Returns an empty list if the field is missing or null.
///
/// # Errors
///
/// Fails if `waits_on` is not a list or has an element that is not a job id.
pub fn read_needs(value: &Value) -> Result<Vec<JobId>, &'static str> {
    let Some(listed) = value.get("waits_on").filter(|listed| !listed.is_null()) else {
        return Ok(Vec::new());
    };
    let listed = listed.as_array().ok_or("waits_on is not a list")?;
    let id = |one: &Value| one.as_str().and_then(job_id);
    let needs: Option<BTreeSet<JobId>> = listed.iter().map(id).collect();
    let needs = needs.ok_or("waits_on names something that is no job id")?;
    Ok(needs.into_iter().collect())
}

/// Maximum amount of one resource of a task, and maximum size of an image in GB.
const MAX_AMOUNT: f64 = 1e6;
/// Maximum time that a field of a job may have, in seconds.
const MAX_TIME_S: f64 = 1e9;
/// Maximum length in bytes of the name of a class, team, image, zone or machine type.
const MAX_NAME_BYTES: usize = 200;
/// Maximum number of machine types that one job may allow.
const MAX_ALLOWED_TYPES: usize = 32;

/// Reads and validates the body of a job.
///
/// # Errors
///
/// Fails if a field is missing, has the wrong type or is out of range. The error names the
/// reason.
pub fn read_job(value: Value) -> Result<JobSpec, &'static str> {
    let wire: WireJob =
        serde_json::from_value(value).map_err(|_| "a field is missing or of the wrong type")?;
    let kind = wire.kind()?;
    let priority = wire.priority()?;
    wire.check_task_count(kind)?;
    wire.check_amounts()?;
    wire.check_times()?;
    wire.check_names()?;
    Ok(wire.into_spec(kind, priority))
}

impl WireJob {
    fn kind(&self) -> Result<Kind, &'static str> {
        match self.shape.as_str() {
            "sweep" => Ok(Kind::Array),
            "standing" => Ok(Kind::Service),
            // `ensemble` is the users' word for a gang, which the design has.
            "ensemble" => Ok(Kind::Gang),
            _ => Err("shape is none of sweep, standing and ensemble"),
        }
    }

    fn priority(&self) -> Result<Priority, &'static str> {
        match self.rank.as_str() {
            "critical" => Ok(Priority::Critical),
            "high" => Ok(Priority::High),
            "normal" => Ok(Priority::Normal),
            "idle" => Ok(Priority::Idle),
            _ => Err("unknown rank"),
        }
    }

    fn check_task_count(&self, kind: Kind) -> Result<(), &'static str> {
        if !(1..=MAX_TASKS).contains(&self.pieces) {
            return Err("pieces is not within 1 to 100000");
        }
        if kind == Kind::Gang && self.pieces > MAX_GANG_TASKS {
            return Err("pieces of an ensemble is not within 1 to 2000");
        }
        Ok(())
    }

    fn check_amounts(&self) -> Result<(), &'static str> {
        let mut amounts = [self.cpus, self.cards, self.ram_gb, self.pull_gb].into_iter();
        if !amounts.all(|amount| (0.0..=MAX_AMOUNT).contains(&amount)) {
            return Err("cpus, cards, ram_gb or pull_gb is out of range");
        }
        Ok(())
    }

    fn check_times(&self) -> Result<(), &'static str> {
        let times = [self.guess_s, self.mark_s, self.stash_s].into_iter();
        let mut times = times.chain(self.due_s);
        if !times.all(|time_s| (0.0..=MAX_TIME_S).contains(&time_s)) {
            return Err("guess_s, mark_s, stash_s or due_s is out of range");
        }
        Ok(())
    }

    fn check_names(&self) -> Result<(), &'static str> {
        let names = [&self.jobclass, &self.crew, &self.bundle].into_iter();
        let types = self.builds.iter().flatten();
        let mut names = names.chain(&self.rack).chain(types);
        if !names.all(|name| !name.is_empty() && name.len() <= MAX_NAME_BYTES) {
            return Err("a name is empty or too long");
        }
        let out_of_range =
            |types: &Vec<String>| types.is_empty() || types.len() > MAX_ALLOWED_TYPES;
        if self.builds.as_ref().is_some_and(out_of_range) {
            return Err("builds is empty or too long");
        }
        Ok(())
    }

    /// Converts a validated body into a job.
    fn into_spec(self, kind: Kind, priority: Priority) -> JobSpec {
        let type_names = |types: Vec<String>| types.iter().map(|t| TypeName::from(&**t)).collect();
        JobSpec {
            class: Arc::from(self.jobclass),
            team: Arc::from(self.crew),
            kind,
            priority,
            tasks: self.pieces as u32,
            each: Amount::new(self.cpus, self.cards, self.ram_gb),
            image: Image::from(self.bundle.as_str()),
            image_gb: self.pull_gb,
            types: self.builds.map(type_names),
            zone: self.rack.map(|zone| Zone::from(zone.as_str())),
            one_zone: self.together,
            spread: self.spread,
            spot: self.spot,
            estimate_s: self.guess_s,
            checkpoint_s: self.mark_s,
            save_s: self.stash_s,
            deadline_s: self.due_s,
            placement: None,
            extension: None,
        }
    }
}
