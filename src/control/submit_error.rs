//! Outcomes of submissions, and the reasons for refusals.

use sorrelhinge_protocol::invalid::InvalidField;
use sorrelhinge_topology::policy::InfeasiblePolicy;

use crate::state::view::Summary;
use crate::types::JobId;

/// Accepted submission, with the current state of the job.
#[derive(Clone, Debug, PartialEq)]
pub enum Submitted {
    /// This request created the job.
    Accepted(Summary),
    /// An earlier request created the job.
    Known(Summary),
}

/// Reason why a submission is not accepted. The user reads this text.
#[derive(Debug, thiserror::Error)]
pub enum SubmitError {
    /// The description of the job is invalid.
    #[error(transparent)]
    Invalid(#[from] InvalidJob),
    /// The job can never run here.
    #[error(transparent)]
    Infeasible(#[from] Infeasible),
    /// The controller can't decide now. The records can't be read or written, the machine
    /// types are not known yet, or too many submissions are being recorded.
    #[error("can't decide now, ask again")]
    Unavailable,
}

/// Reason why a job's description is invalid.
#[derive(Debug, thiserror::Error)]
pub enum InvalidJob {
    /// A field of the job itself or of its dependencies is invalid. The text names the
    /// field.
    #[error("{0}")]
    Field(&'static str),
    /// A field of the job's placement rules is invalid.
    #[error(transparent)]
    PlacementRules(#[from] InvalidField),
    /// The job's record exceeds the state service's limit of a value.
    #[error("the job's names are too long to be recorded")]
    NamesTooLong,
}

/// Reason why a job can never run in this cluster.
#[derive(Debug, thiserror::Error)]
pub enum Infeasible {
    /// The settings don't contain the job's team.
    #[error("unknown team")]
    UnknownTeam,
    /// The resources that the job needs at once exceed its team's limit.
    #[error("more than the team's limit")]
    OverTeamLimit,
    /// No machine type that the job allows is large enough for one of its tasks.
    #[error("a task fits no allowed machine type")]
    FitsNoMachineType,
    /// The topology can't meet the job's placement rules, for this reason.
    #[error("{0}")]
    PlacementRules(InfeasiblePolicy),
    /// The job depends on itself.
    #[error("it waits on itself")]
    DependsOnItself,
    /// The job depends on a job that is not recorded.
    #[error("{0} was never accepted")]
    UnknownDependency(JobId),
    /// The job depends on a service, which never ends.
    #[error("{0} is a service")]
    DependsOnService(JobId),
}
