//! What a submission comes to, and why one is not accepted.

use sorrelhinge_protocol::invalid::InvalidField;
use sorrelhinge_topology::policy::InfeasiblePolicy;

use crate::state::view::Summary;
use crate::types::JobId;

/// A submission that is accepted, with the job's state now.
#[derive(Clone, Debug, PartialEq)]
pub enum Submitted {
    /// Newly accepted.
    Accepted(Summary),
    /// Accepted before.
    Known(Summary),
}

/// Why a submission is not accepted. The text is what its user reads.
#[derive(Debug, thiserror::Error)]
pub enum SubmitError {
    /// The job is not described as it has to be.
    #[error(transparent)]
    Invalid(#[from] InvalidJob),
    /// The job can never run.
    #[error(transparent)]
    Infeasible(#[from] Infeasible),
    /// It can't be decided now: the records can't be read or written, the machine types
    /// are not known yet, or too many submissions are being recorded.
    #[error("can't decide now, ask again")]
    Unavailable,
}

/// What is wrong with a job's description.
#[derive(Debug, thiserror::Error)]
pub enum InvalidJob {
    /// A field of the job itself, or of the jobs that it needs; the text names it.
    #[error("{0}")]
    Field(&'static str),
    /// A field of its placement rules.
    #[error(transparent)]
    PlacementRules(#[from] InvalidField),
    /// Its record is over the state service's limit of a value.
    #[error("the job's names are too long to be recorded")]
    NamesTooLong,
}

/// Why a job can never run here.
#[derive(Debug, thiserror::Error)]
pub enum Infeasible {
    /// The settings name no such team.
    #[error("unknown team")]
    UnknownTeam,
    /// What it needs at once is over its team's limit.
    #[error("more than the team's limit")]
    OverTeamLimit,
    /// No machine type that it allows is large enough for one of its tasks.
    #[error("a task fits no allowed machine type")]
    FitsNoMachineType,
    /// Its placement rules can't be met in this topology, for this reason.
    #[error("{0}")]
    PlacementRules(InfeasiblePolicy),
    /// It needs itself.
    #[error("it waits on itself")]
    DependsOnItself,
    /// It needs a job that there is not.
    #[error("{0} was never accepted")]
    UnknownDependency(JobId),
    /// It needs a service, which is never done.
    #[error("{0} is a service")]
    DependsOnService(JobId),
}
