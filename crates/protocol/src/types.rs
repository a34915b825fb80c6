//! Small types of their own for ids, counters, times and amounts.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::placement::PlacementRules;

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_id!(
    /// A job, named by its user.
    JobId
);
text_id!(
    /// A rented machine, named by the cloud.
    MachineId
);
text_id!(
    /// A controller.
    NodeId
);
text_id!(
    /// A zone.
    Zone
);
text_id!(
    /// A machine type.
    TypeName
);
text_id!(
    /// An image.
    Image
);

macro_rules! counter {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

counter!(
    /// One try at running a task.
    Attempt
);
counter!(
    /// A worker's incarnation.
    Incarnation
);
counter!(
    /// Order of a worker's messages within a incarnation.
    SequenceNumber
);
counter!(
    /// Counts all changes in the state service.
    Revision
);
counter!(
    /// A lease in the state service.
    LeaseId
);
counter!(
    /// Counts the leaders.
    Term
);
counter!(
    /// Who may command a worker: the number of a shard grant in the upper
    /// bits, and in the lower bits how often that grant's owner raised it for
    /// one machine. Any later grant is above every raise of an earlier one.
    FencingToken
);

const RAISE_BITS: u32 = 20;

impl FencingToken {
    /// The first fencing token of grant number `grant`.
    pub fn of_grant(grant: u64) -> Self {
        Self(grant << RAISE_BITS)
    }
    /// The grant that this fencing token belongs to.
    pub fn grant(self) -> u64 {
        self.0 >> RAISE_BITS
    }
    /// The next fencing token within the same grant.
    pub fn raised(self) -> Self {
        Self(self.0 + 1)
    }
}

/// One task of a job.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The task's number within it.
    pub index: u32,
}

impl TaskId {
    /// Reads `run-000412/3`.
    pub fn parse(text: &str) -> Option<Self> {
        let (job, index) = text.rsplit_once('/')?;
        Some(Self {
            job: JobId::from(job),
            index: index.parse().ok()?,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// Seconds on this process's steady clock.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Default)]
pub struct Time(pub f64);

impl Time {
    /// Seconds from `earlier` to this time; never negative.
    pub fn since(self, earlier: Time) -> f64 {
        (self.0 - earlier.0).max(0.0)
    }
    /// This time, `seconds` later.
    pub fn after(self, seconds: f64) -> Time {
        Time(self.0 + seconds)
    }
}

/// Amounts of what a machine offers, in thousandths, so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amount {
    /// Thousandths of a CPU.
    pub cpu: i64,
    /// Thousandths of a GPU.
    pub gpu: i64,
    /// Thousandths of a GB of memory.
    pub ram: i64,
}

impl Amount {
    /// A team's limit where it has none: more than any setting may say, and small
    /// enough that sums of such limits are exact.
    pub const NO_LIMIT: i64 = 1_000_000_000_000;

    /// From whole units.
    pub fn new(cpus: f64, gpus: f64, ram_gb: f64) -> Self {
        let milli = |x: f64| (x * 1000.0).round() as i64;
        Self {
            cpu: milli(cpus),
            gpu: milli(gpus),
            ram: milli(ram_gb),
        }
    }
    /// Whether this fits into `free_capacity`.
    pub fn fits(self, free_capacity: Amount) -> bool {
        self.cpu <= free_capacity.cpu
            && self.gpu <= free_capacity.gpu
            && self.ram <= free_capacity.ram
    }
    /// Whether CPUs and GPUs fit into `free_capacity`; teams are not limited in memory.
    pub fn fits_team(self, free_capacity: Amount) -> bool {
        self.cpu <= free_capacity.cpu && self.gpu <= free_capacity.gpu
    }
    /// How many times this fits into `free_capacity`.
    pub fn how_many(self, free_capacity: Amount) -> u32 {
        let part = |need: i64, has: i64| match need {
            0 => i64::from(u32::MAX),
            need => (has / need).clamp(0, i64::from(u32::MAX)),
        };
        part(self.cpu, free_capacity.cpu)
            .min(part(self.gpu, free_capacity.gpu))
            .min(part(self.ram, free_capacity.ram)) as u32
    }
    /// This amount `n` times.
    pub fn times(self, n: i64) -> Self {
        Self {
            cpu: self.cpu.saturating_mul(n),
            gpu: self.gpu.saturating_mul(n),
            ram: self.ram.saturating_mul(n),
        }
    }
}

impl std::ops::Add for Amount {
    type Output = Amount;
    fn add(self, o: Amount) -> Amount {
        Amount {
            cpu: self.cpu.saturating_add(o.cpu),
            gpu: self.gpu.saturating_add(o.gpu),
            ram: self.ram.saturating_add(o.ram),
        }
    }
}

impl std::ops::Sub for Amount {
    type Output = Amount;
    fn sub(self, o: Amount) -> Amount {
        self + o.times(-1)
    }
}

impl std::ops::AddAssign for Amount {
    fn add_assign(&mut self, o: Amount) {
        *self = *self + o;
    }
}

impl std::ops::SubAssign for Amount {
    fn sub_assign(&mut self, o: Amount) {
        *self = *self - o;
    }
}

/// A job's priority, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Runs in what others leave.
    Idle,
    /// Ordinary work.
    Normal,
    /// Urgent work.
    High,
    /// Production.
    Critical,
}

/// What a job's tasks are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Independent tasks that run to completion.
    Array,
    /// Replicas that run until the job is cancelled.
    Service,
    /// Tasks that run to completion, all at the same time (DESIGN, gangs).
    Gang,
}

/// A job as its user described it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Class, as in the objectives.
    pub class: Arc<str>,
    /// Team.
    pub team: Arc<str>,
    /// What its tasks are.
    pub kind: Kind,
    /// Priority.
    pub priority: Priority,
    /// Number of tasks.
    pub tasks: u32,
    /// What each task takes.
    pub each: Amount,
    /// Image that each task needs.
    pub image: Image,
    /// The image's size, in GB.
    pub image_gb: f64,
    /// Allowed machine types; none means any.
    pub types: Option<Vec<TypeName>>,
    /// The only allowed zone.
    pub zone: Option<Zone>,
    /// All tasks in one zone.
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, in one zone.
    pub spread: bool,
    /// May use spot machines.
    pub spot: bool,
    /// The owner's guess of a task's run time, in seconds.
    pub estimate_s: f64,
    /// Interval of checkpoints, in seconds; 0 for none.
    pub checkpoint_s: f64,
    /// Time to save when stopped, in seconds.
    pub save_s: f64,
    /// When it should be complete, in seconds from submission.
    pub deadline_s: Option<f64>,
    /// What it asks of the topology; see [`crate::placement`].
    #[serde(skip)]
    pub placement: Option<Box<PlacementRules>>,
    /// In a record: what earlier versions can't place, see [`JobSpec::with_extension`].
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub extension: Option<Box<CompatibilityExtension>>,
}

/// A machine type that no cloud has: what is recorded as the only allowed one
/// of a job with an extension, so that a controller of an earlier version, which would
/// read the job as an array without placement rules, finds no place for it.
const INCOMPATIBLE_TYPE: &str = "+";

/// The part of a job that earlier versions don't know.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CompatibilityExtension {
    /// It is a gang.
    #[serde(rename = "g", default, skip_serializing_if = "std::ops::Not::not")]
    pub gang: bool,
    /// The machine types that are really allowed.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<TypeName>>,
    /// Its placement rules.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub placement: Option<Box<PlacementRules>>,
}

/// Whether these types are no cloud's.
fn is_incompatible_marker(types: &[TypeName]) -> bool {
    matches!(types, [only] if only.as_str() == INCOMPATIBLE_TYPE)
}

impl JobSpec {
    /// The form for the record: a gang, or a job with placement rules, is written so
    /// that controllers of the version before these existed answer for it, and
    /// cancel it, yet never place it.
    pub fn with_extension(mut self) -> Self {
        if self.kind == Kind::Gang || self.placement.is_some() {
            self.extension = Some(Box::new(CompatibilityExtension {
                gang: self.kind == Kind::Gang,
                types: self.types.take(),
                placement: self.placement.take(),
            }));
            self.mark_incompatible();
            if self.kind == Kind::Gang {
                self.kind = Kind::Array;
            }
        }
        self
    }
    /// Allows no machine type that any cloud has: no version that takes the description
    /// as it stands finds a place for the job.
    pub fn mark_incompatible(&mut self) {
        self.types = Some(vec![TypeName::from(INCOMPATIBLE_TYPE)]);
    }
    /// What is kept of a cancelled job whose description is too large to be written again:
    /// its team and what each of its tasks takes, until they have ended. Devices may
    /// be assigned to it, if its description has an extension.
    pub fn trimmed(&self) -> Self {
        let fenced =
            self.extension.is_some() || self.types.as_deref().is_some_and(is_incompatible_marker);
        let mut kept = Self {
            class: Arc::from(""),
            image: Image::from(""),
            types: None,
            zone: None,
            extension: None,
            ..self.clone()
        };
        if fenced {
            kept.mark_incompatible();
        }
        kept
    }
    /// What a record's form stands for. An extension that an earlier version lost
    /// when it cancelled the job is known by its machine type: any device may be
    /// assigned to the job's tasks.
    pub fn without_extension(mut self) -> Self {
        if let Some(extension) = self.extension.take() {
            self.types = extension.types;
            self.placement = extension.placement;
            if extension.gang {
                self.kind = Kind::Gang;
            }
        } else if self.types.as_deref().is_some_and(is_incompatible_marker) {
            self.placement = Some(Box::new(PlacementRules {
                lost: true,
                ..PlacementRules::default()
            }));
        }
        self
    }
    /// How many of its tasks must fit into its team's limit together.
    pub fn at_once(&self) -> i64 {
        match self.kind {
            Kind::Array => 1,
            Kind::Service | Kind::Gang => i64::from(self.tasks),
        }
    }
}

/// A machine type as the cloud describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    /// Name.
    pub name: TypeName,
    /// What it offers.
    pub total: Amount,
    /// Capacity for cached images, in GB.
    pub cache_gb: f64,
    /// How fast images arrive, in GB a second.
    pub fetch_gb_per_s: f64,
    /// Price an hour.
    pub price: f64,
    /// Price an hour of a spot machine.
    pub spot_price: f64,
    /// Usual time until its worker heartbeats, in seconds.
    pub boot_s: f64,
    /// Where it exists.
    pub zones: Vec<Zone>,
}
