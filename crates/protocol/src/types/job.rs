//! Job as its user describes it, and the form in which records keep it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Amount, Image, TypeName, Zone};
use crate::placement::PlacementRules;

/// Priority of a job, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Priority of jobs that run only on capacity that other jobs leave free.
    Idle,
    /// Priority of ordinary jobs.
    Normal,
    /// Priority of urgent jobs.
    High,
    /// Priority of production jobs.
    Critical,
}

/// Kind of a job, which decides how its tasks run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// The tasks are independent and run to completion.
    Array,
    /// The tasks are replicas that run until the job is cancelled.
    Service,
    /// The tasks run to completion, all at the same time (DESIGN, gangs).
    Gang,
}

/// Job as its user describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Class of the job, as in the objectives of the settings.
    pub class: Arc<str>,
    /// Team that the job belongs to.
    pub team: Arc<str>,
    /// Kind of the job: array, service or gang.
    pub kind: Kind,
    /// Priority of the job against other jobs.
    pub priority: Priority,
    /// Number of tasks that the job has.
    pub tasks: u32,
    /// Resources that each task needs.
    pub each: Amount,
    /// Name of the image that each task of the job needs.
    pub image: Image,
    /// Size of the job's image, in GB.
    pub image_gb: f64,
    /// Allowed machine types, or `None` if any type is allowed.
    pub types: Option<Vec<TypeName>>,
    /// Only allowed zone, or `None` if any zone is allowed.
    pub zone: Option<Zone>,
    /// Whether all tasks must run in one zone.
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may run in one zone.
    pub spread: bool,
    /// Whether the tasks may run on spot machines.
    pub spot: bool,
    /// Run time of a task in seconds, as the job's owner estimates it.
    pub estimate_s: f64,
    /// Interval between checkpoints of a task in seconds, or 0 if it has none.
    pub checkpoint_s: f64,
    /// Time in seconds that a task needs to save its state when it is stopped.
    pub save_s: f64,
    /// Time by which the job should be complete, in seconds from submission.
    pub deadline_s: Option<f64>,
    /// Placement rules of the job for the topology, see [`crate::placement`].
    #[serde(skip)]
    pub placement: Option<Box<PlacementRules>>,
    /// Part of a recorded job that earlier versions can't place, see
    /// [`JobSpec::with_extension`].
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub extension: Option<Box<CompatibilityExtension>>,
}

/// Machine type that no cloud has. A job with an extension is recorded with this as its
/// only allowed type.
///
/// A controller of an earlier version would read such a job as an array without placement
/// rules. With this type, such a controller finds no place for the job.
const INCOMPATIBLE_TYPE: &str = "+";

/// Part of a recorded job that earlier versions don't know.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CompatibilityExtension {
    /// Whether the recorded job is a gang.
    #[serde(rename = "g", default, skip_serializing_if = "std::ops::Not::not")]
    pub gang: bool,
    /// Machine types that the job really allows, or `None` if any type is allowed.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<TypeName>>,
    /// Placement rules of the recorded job for the topology.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub placement: Option<Box<PlacementRules>>,
}

/// Returns whether the only allowed type is the marker that no cloud has.
fn is_incompatible_marker(types: &[TypeName]) -> bool {
    matches!(types, [only] if only.as_str() == INCOMPATIBLE_TYPE)
}

impl JobSpec {
    /// Converts the job into its recorded form.
    ///
    /// A gang or a job with placement rules gets an extension. Controllers of the version
    /// before these features then answer status queries for the job and cancel it, but never
    /// place it.
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
    /// Allows only a machine type that no cloud has. A version that takes the description
    /// literally finds no place for the job.
    pub fn mark_incompatible(&mut self) {
        self.types = Some(vec![TypeName::from(INCOMPATIBLE_TYPE)]);
    }
    /// Returns the small form of a cancelled job whose description is too large to be written
    /// again.
    ///
    /// The form keeps the team and the resources of each task until all tasks have ended.
    /// Devices may be assigned to the job's tasks if its description has an extension.
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
    /// Converts the recorded form back into the job.
    ///
    /// An earlier version that cancels a job drops its extension. The marker type reveals this,
    /// and any device may then be assigned to the job's tasks.
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
    /// Returns how many of the job's tasks must fit into the team's limit at the same time.
    pub fn at_once(&self) -> i64 {
        match self.kind {
            Kind::Array => 1,
            Kind::Service | Kind::Gang => i64::from(self.tasks),
        }
    }
}
