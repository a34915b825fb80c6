//! A job as its user described it, and the form in which records keep it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Amount, Image, TypeName, Zone};
use crate::placement::PlacementRules;

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
