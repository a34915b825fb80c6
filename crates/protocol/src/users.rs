//! The users' interface (PROTOCOL, "Users -> controller nodes").

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::types::{Amount, Image, JobId, JobSpec, Kind, Priority, TypeName, Zone};

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
    /// Memory of a task.
    pub ram_gb: f64,
    /// Image.
    pub bundle: String,
    /// Its size.
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
    /// Estimated run time.
    pub guess_s: f64,
    /// Interval of checkpoints.
    pub mark_s: f64,
    /// Time to save.
    pub stash_s: f64,
    /// Deadline from submission.
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

/// Reads a job; the error names what is wrong.
pub fn read_job(value: Value) -> Result<JobSpec, &'static str> {
    let wire: WireJob =
        serde_json::from_value(value).map_err(|_| "a field is missing or of the wrong type")?;
    let kind = match wire.shape.as_str() {
        "sweep" => Kind::Array,
        "standing" => Kind::Service,
        // Gangs are in the design, and this is the users' word for them.
        "ensemble" => Kind::Gang,
        _ => return Err("shape is none of sweep, standing and ensemble"),
    };
    let priority = match wire.rank.as_str() {
        "critical" => Priority::Critical,
        "high" => Priority::High,
        "normal" => Priority::Normal,
        "idle" => Priority::Idle,
        _ => return Err("unknown rank"),
    };
    if !(1..=MAX_TASKS).contains(&wire.pieces) {
        return Err("pieces is not within 1 to 100000");
    }
    if kind == Kind::Gang && wire.pieces > MAX_GANG_TASKS {
        return Err("pieces of an ensemble is not within 1 to 2000");
    }
    let amount = |x: f64| (0.0..=1e6).contains(&x);
    if ![wire.cpus, wire.cards, wire.ram_gb, wire.pull_gb]
        .into_iter()
        .all(amount)
    {
        return Err("cpus, cards, ram_gb or pull_gb is out of range");
    }
    let span = |x: f64| (0.0..=1e9).contains(&x);
    if ![wire.guess_s, wire.mark_s, wire.stash_s]
        .into_iter()
        .chain(wire.due_s)
        .all(span)
    {
        return Err("guess_s, mark_s, stash_s or due_s is out of range");
    }
    let short = |text: &str| !text.is_empty() && text.len() <= 200;
    let named = [&wire.jobclass, &wire.crew, &wire.bundle];
    if !named
        .into_iter()
        .chain(&wire.rack)
        .chain(wire.builds.iter().flatten())
        .all(|t| short(t))
    {
        return Err("a name is empty or too long");
    }
    if wire
        .builds
        .as_ref()
        .is_some_and(|b| b.is_empty() || b.len() > 32)
    {
        return Err("builds is empty or too long");
    }
    Ok(JobSpec {
        class: Arc::from(wire.jobclass),
        team: Arc::from(wire.crew),
        kind,
        priority,
        tasks: wire.pieces as u32,
        each: Amount::new(wire.cpus, wire.cards, wire.ram_gb),
        image: Image::from(wire.bundle.as_str()),
        image_gb: wire.pull_gb,
        types: wire
            .builds
            .map(|b| b.iter().map(|t| TypeName::from(t.as_str())).collect()),
        zone: wire.rack.map(|z| Zone::from(z.as_str())),
        one_zone: wire.together,
        spread: wire.spread,
        spot: wire.spot,
        estimate_s: wire.guess_s,
        checkpoint_s: wire.mark_s,
        save_s: wire.stash_s,
        deadline_s: wire.due_s,
        placement: None,
        extension: None,
    })
}
