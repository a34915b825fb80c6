//! Types for ids, counters and times. Submodules define amounts, job descriptions and
//! machine types.

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
            /// Returns the id as text.
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
    /// Id of a job, chosen by its user.
    JobId
);
text_id!(
    /// Id of a rented machine, chosen by the cloud.
    MachineId
);
text_id!(
    /// Id of a controller of the cluster.
    NodeId
);
text_id!(
    /// Name of a zone of the cloud.
    Zone
);
text_id!(
    /// Name of one of the cloud's machine types.
    TypeName
);
text_id!(
    /// Name of a task image.
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
    /// Number of an attempt to run a task.
    Attempt
);
counter!(
    /// Number of a worker's incarnation.
    Incarnation
);
counter!(
    /// Sequence number of a worker's message within an incarnation.
    SequenceNumber
);
counter!(
    /// Revision of the state service, which counts all its changes.
    Revision
);
counter!(
    /// Id of a lease in the state service.
    LeaseId
);
counter!(
    /// Number of a leader's term. Each new leader gets a higher one.
    Term
);
counter!(
    /// Token that decides which controller may command a worker.
    ///
    /// The upper bits are the number of a shard grant. The lower bits count how often the
    /// grant's owner raised the token for one machine. Any token of a later grant is above all
    /// tokens of an earlier one.
    FencingToken
);

const RAISE_BITS: u32 = 20;

impl FencingToken {
    /// Returns the first fencing token of the grant with number `grant`.
    pub fn of_grant(grant: u64) -> Self {
        Self(grant << RAISE_BITS)
    }
    /// Returns the number of the grant that this fencing token belongs to.
    pub fn grant(self) -> u64 {
        self.0 >> RAISE_BITS
    }
    /// Returns the next fencing token within the same grant.
    pub fn raised(self) -> Self {
        Self(self.0 + 1)
    }
    /// Returns how often the fencing token can be raised within the same grant.
    pub fn raises_left(self) -> u64 {
        Self::of_grant(self.grant() + 1).0 - 1 - self.0
    }
}

/// Id of one task of a job.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Index of the task within its job.
    pub index: u32,
}

impl TaskId {
    /// Parses a task id such as `run-000412/3`.
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

/// Time in seconds on the monotonic clock of this process.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Default)]
pub struct Time(pub f64);

impl Time {
    /// Returns the seconds from `earlier` to this time, or 0 if `earlier` is later.
    pub fn since(self, earlier: Time) -> f64 {
        (self.0 - earlier.0).max(0.0)
    }
    /// Returns the time that is `seconds` later.
    pub fn after(self, seconds: f64) -> Time {
        Time(self.0 + seconds)
    }
}
