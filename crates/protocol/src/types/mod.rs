//! Types of their own for ids, counters and times; amounts, job descriptions and machine
//! types are in the modules below.

mod amount;
mod job;
mod machine_type;

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use self::amount::Amount;
pub use self::job::{CompatibilityExtension, JobSpec, Kind, Priority};
pub use self::machine_type::MachineType;

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
    /// Order of a worker's messages within an incarnation.
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
