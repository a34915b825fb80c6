//! The users' interface (PROTOCOL, "Users -> controller nodes").

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::types::{Amount, Image, JobId, JobSpec, Kind, Priority, TypeName, Zone};

/// Tasks of the largest job.
const MAX_TASKS: u64 = 100_000;
/// A gang is placed all at once, so its size is what one decision can weigh.
const MAX_GANG_TASKS: u64 = 2_000;

/// What users see of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Id.
    #[serde(rename = "uid")]
    pub id: JobId,
    /// `pending`, `running`, `done` or `cancelled`.
    pub phase: String,
    /// Done tasks.
    #[serde(default)]
    pub done: u32,
    /// Running tasks.
    #[serde(default)]
    pub running: u32,
    /// Why it waits, where that is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub waits: Option<String>,
    /// Of a job in a pipeline that is not over.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pipeline: Option<PipelineStatus>,
}

/// What a job in a pipeline waits for, and what it inherits from the jobs that need it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PipelineStatus {
    /// The jobs that it waits for; none: it is ready.
    #[serde(default)]
    pub waits_for: Vec<JobId>,
    /// The highest priority of itself and of the jobs that need it.
    pub priority: Priority,
    /// By when it has to be done, in milliseconds of the time of day.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_by_ms: Option<i64>,
}

/// A job's body (PROTOCOL, "POST /v1/jobs"), without its `uid`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireJob {
    /// Class.
    pub jobclass: String,
    /// Team.
    pub crew: String,
    /// `sweep`, `standing` or `ensemble`.
    pub shape: String,
    /// Priority.
    pub rank: String,
    /// Number of tasks.
    pub pieces: u64,
    /// CPUs of a task.
    pub cpus: f64,
    /// GPUs of a task.
    pub cards: f64,
    /// Memory of a task, in GB.
    pub ram_gb: f64,
    /// Image.
    pub bundle: String,
    /// Its size, in GB.
    pub pull_gb: f64,
    /// Allowed machine types.
    pub builds: Option<Vec<String>>,
    /// The only allowed zone.
    pub rack: Option<String>,
    /// All tasks in one zone.
    pub together: bool,
    /// At most half of the tasks in one zone.
    pub spread: bool,
    /// May use spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Estimated run time, in seconds.
    pub guess_s: f64,
    /// Interval of checkpoints, in seconds.
    pub mark_s: f64,
    /// Time to save, in seconds.
    pub stash_s: f64,
    /// Deadline, in seconds from submission.
    pub due_s: Option<f64>,
}

/// Whether a text is a job id in the only form there is.
pub fn job_id(text: &str) -> Option<JobId> {
    let digits = text.strip_prefix("run-")?;
    let valid = (1..=40).contains(&digits.len())
        && digits
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b == b'-');
    valid.then(|| JobId::from(text))
}

/// Reads the ids of the jobs that a job needs (`waits_on`), each once; none if the field
/// is missing or null. The error names what is wrong.
///
/// # Errors
///
/// `waits_on` is no list, or has something that is no job id.
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

/// Largest amount of a resource of a task, and of GB of its image.
const MAX_AMOUNT: f64 = 1e6;
/// Longest time that a job may name, in seconds.
const MAX_TIME_S: f64 = 1e9;
/// Bytes of the longest name of a class, a team, an image, a zone or a machine type.
const MAX_NAME_BYTES: usize = 200;
/// Machine types that one job may allow.
const MAX_ALLOWED_TYPES: usize = 32;

/// Reads a job; the error names what is wrong.
///
/// # Errors
///
/// A field is missing, of the wrong type or out of range.
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
            // Gangs are in the design, and this is the users' word for them.
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

    /// The job of a body that was checked.
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
