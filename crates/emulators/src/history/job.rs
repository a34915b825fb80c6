//! What the checker must know of jobs, teams and machine types. Jobs are read here
//! from their bodies, not by the controllers' own reader, whose faults would
//! otherwise hide themselves.

use serde_json::Value;

/// CPUs, GPUs and memory.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Amounts {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub cards: f64,
    /// Memory in GB.
    pub ram_gb: f64,
}

/// Sums of decimal numbers are compared with this tolerance.
const ROUNDING: f64 = 1e-6;

impl Amounts {
    /// This, so many times.
    pub fn times(self, count: f64) -> Self {
        Self {
            cpus: self.cpus * count,
            cards: self.cards * count,
            ram_gb: self.ram_gb * count,
        }
    }

    /// The sum.
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpus: self.cpus + other.cpus,
            cards: self.cards + other.cards,
            ram_gb: self.ram_gb + other.ram_gb,
        }
    }

    /// Whether this fits into `free_capacity`.
    pub fn fits(self, free_capacity: Self) -> bool {
        self.cpus <= free_capacity.cpus + ROUNDING
            && self.cards <= free_capacity.cards + ROUNDING
            && self.ram_gb <= free_capacity.ram_gb + ROUNDING
    }
}

/// A team's limit; none for an amount that has no limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// CPUs that its tasks may use.
    pub cpus_max: Option<f64>,
    /// GPUs that its tasks may use.
    pub cards_max: Option<f64>,
}

impl Team {
    /// Whether so much is within the limit.
    pub fn allows(&self, used: Amounts) -> bool {
        let within = |used: f64, max: Option<f64>| max.is_none_or(|m| used <= m + ROUNDING);
        within(used.cpus, self.cpus_max) && within(used.cards, self.cards_max)
    }
}

/// A machine type of the cloud.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    /// Its name.
    pub name: String,
    /// What a machine has free capacity for.
    pub free_capacity: Amounts,
    /// Where it is offered.
    pub zones: Vec<String>,
}

/// Teams and machine types of a site.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Site {
    /// The teams.
    pub teams: Vec<Team>,
    /// The machine types.
    pub types: Vec<MachineType>,
}

impl Site {
    /// A team by its name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == name)
    }
}

/// Why a job must be refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// A field is missing or invalid (400).
    Malformed(&'static str),
    /// Its team is not listed (422).
    UnknownTeam,
    /// A task fits no allowed machine type (422).
    FitsNoMachine,
    /// It needs more than the team's limit (422).
    OverLimit,
}

/// A job, as far as the rules ask about it.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Its team.
    pub team: String,
    /// Runs until it is cancelled.
    pub service: bool,
    /// Its tasks are placed all at once or not at all.
    pub gang: bool,
    /// How many tasks.
    pub tasks: u64,
    /// What each takes.
    pub each: Amounts,
    /// Allowed types; none: any.
    pub types: Option<Vec<String>>,
    /// The only allowed zone.
    pub zone: Option<String>,
    /// All tasks in one zone.
    pub together: bool,
    /// At most half of the tasks, rounded up, in one zone.
    pub spread: bool,
    /// May use spot machines.
    pub spot: bool,
    /// The jobs that it needs (`waits_on`).
    pub needs: Vec<String>,
}

fn text(body: &Value, field: &'static str) -> Result<String, RejectReason> {
    let text = body[field].as_str().filter(|t| !t.is_empty());
    text.map(str::to_owned)
        .ok_or(RejectReason::Malformed(field))
}

fn number(body: &Value, field: &'static str) -> Result<f64, RejectReason> {
    let number = body[field].as_f64().filter(|n| *n >= 0.0);
    number.ok_or(RejectReason::Malformed(field))
}

fn flag(body: &Value, field: &'static str) -> Result<bool, RejectReason> {
    body[field].as_bool().ok_or(RejectReason::Malformed(field))
}

fn optional_text(body: &Value, field: &'static str) -> Result<Option<String>, RejectReason> {
    match &body[field] {
        Value::Null => Ok(None),
        _ => text(body, field).map(Some),
    }
}

fn types(body: &Value) -> Result<Option<Vec<String>>, RejectReason> {
    let wrong = RejectReason::Malformed("builds");
    match &body["builds"] {
        Value::Null => Ok(None),
        Value::Array(list) if !list.is_empty() => {
            let names = list.iter().map(|t| t.as_str().map(str::to_owned));
            names.collect::<Option<_>>().map(Some).ok_or(wrong)
        }
        _ => Err(wrong),
    }
}

fn needs(body: &Value) -> Result<Vec<String>, RejectReason> {
    let wrong = RejectReason::Malformed("waits_on");
    match &body["waits_on"] {
        Value::Null => Ok(Vec::new()),
        Value::Array(list) => {
            let ids = list.iter().map(|id| id.as_str().map(str::to_owned));
            ids.collect::<Option<_>>().ok_or(wrong)
        }
        _ => Err(wrong),
    }
}

/// At most so many tasks (PROTOCOL, `tasks`).
const MAX_TASKS: u64 = 100_000;

impl Job {
    /// Reads a body (PROTOCOL, "POST /v1/jobs").
    ///
    /// # Errors
    ///
    /// The first thing that a controller must refuse about it.
    pub fn read(body: &Value) -> Result<Self, RejectReason> {
        for field in ["uid", "jobclass", "bundle"] {
            text(body, field)?;
        }
        for field in ["pull_gb", "guess_s", "mark_s", "stash_s"] {
            number(body, field)?;
        }
        if !body["due_s"].is_null() {
            number(body, "due_s")?;
        }
        if !["critical", "high", "normal", "idle"].contains(&text(body, "rank")?.as_str()) {
            return Err(RejectReason::Malformed("rank"));
        }
        let shape = text(body, "shape")?;
        if !["sweep", "standing", "ensemble"].contains(&shape.as_str()) {
            return Err(RejectReason::Malformed("shape"));
        }
        let tasks = body["pieces"].as_u64().unwrap_or(0);
        if !(1..=MAX_TASKS).contains(&tasks) {
            return Err(RejectReason::Malformed("pieces"));
        }
        Ok(Self {
            team: text(body, "crew")?,
            service: shape == "standing",
            gang: shape == "ensemble",
            tasks,
            each: Amounts {
                cpus: number(body, "cpus")?,
                cards: number(body, "cards")?,
                ram_gb: number(body, "ram_gb")?,
            },
            types: types(body)?,
            zone: optional_text(body, "rack")?,
            together: flag(body, "together")?,
            spread: flag(body, "spread")?,
            spot: flag(body, "loaners")?,
            needs: needs(body)?,
        })
    }

    /// Reads a body and asks whether the job can ever run at the site.
    ///
    /// # Errors
    ///
    /// As [`Job::read`], or why it can never run at the site.
    pub fn read_fit(body: &Value, site: &Site) -> Result<Self, RejectReason> {
        let job = Self::read(body)?;
        let team = site.team(&job.team).ok_or(RejectReason::UnknownTeam)?;
        let at_once = if job.service || job.gang {
            job.tasks
        } else {
            1
        };
        if !team.allows(job.each.times(at_once as f64)) {
            return Err(RejectReason::OverLimit);
        }
        let fits = site.types.iter().any(|t| {
            job.allows_type(&t.name)
                && job.each.fits(t.free_capacity)
                && job.zone.as_ref().is_none_or(|z| t.zones.contains(z))
        });
        fits.then_some(job).ok_or(RejectReason::FitsNoMachine)
    }

    /// Whether a type is allowed.
    pub fn allows_type(&self, name: &str) -> bool {
        let listed = |list: &Vec<String>| list.iter().any(|t| t == name);
        self.types.as_ref().is_none_or(listed)
    }

    /// At most so many of its tasks may be in one zone.
    pub fn max_in_zone(&self) -> u64 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }
}
