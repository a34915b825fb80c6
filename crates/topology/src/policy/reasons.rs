//! Reasons why a policy excludes one machine or all possible machines. Users read the
//! texts, and code compares only the enum values.

use std::fmt;

/// Reason why a policy can't be judged. No task is placed under such a policy.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnjudgedPolicy {
    /// The job has placement rules, but the controller has no topology file.
    NoTopology,
    /// A required rule names a level that is not in the topology file.
    UnknownLevel {
        /// Name of the unknown level in the rule.
        level: String,
    },
}

impl fmt::Display for UnjudgedPolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoTopology => f.write_str("this controller has no topology"),
            Self::UnknownLevel { level } => write!(f, "there is no level {level:?}"),
        }
    }
}

/// Rule that excludes a machine for one more task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExclusionRule {
    /// The job's policy can't be judged, so it excludes every machine.
    Unjudged(UnjudgedPolicy),
    /// A spread rule names a level at which the machine's domain is not known.
    UnknownDomain {
        /// Name of the level that the spread rule names.
        level: String,
    },
    /// The machine's domain already has as many of the job's tasks as a spread rule allows.
    Spread {
        /// Name of the level that the spread rule names.
        level: String,
        /// Maximum number of the job's tasks in one domain of the level.
        max: u32,
    },
    /// The job's other tasks are in another domain of the level.
    Together {
        /// Name of the level at which all tasks must share one domain.
        level: String,
    },
    /// The task would use one more domain of the level than the rule allows.
    Fewest {
        /// Name of the level whose used domains are limited.
        level: String,
    },
}

impl fmt::Display for ExclusionRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unjudged(unjudged) => unjudged.fmt(f),
            Self::UnknownDomain { level } => write!(f, "its {level} is not known"),
            Self::Spread { level, max } => write!(f, "at most {max} in a {level}"),
            Self::Together { level } => write!(f, "all in one {level}"),
            Self::Fewest { level } => write!(f, "in as few of each {level} as can be"),
        }
    }
}

/// Reason why a job can never be placed on the machines that the topology file describes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InfeasiblePolicy {
    /// The job's policy can't be judged.
    Unjudged(UnjudgedPolicy),
    /// The job requires more device units of a kind than any machine has.
    Devices {
        /// Kind of the devices that the job requires.
        kind: String,
        /// Number of units that a task needs on its machine.
        count: u32,
        /// Maximum number of units of this kind that one machine has.
        max: u32,
    },
    /// The required rules allow fewer tasks at the same time than the job must run.
    Tasks {
        /// Number of tasks that must run at the same time.
        at_once: u64,
        /// Number of tasks that the rules allow at the same time.
        allowed: u64,
    },
    /// The required rules allow too few tasks at the same time in the limited number of domains
    /// that the job may use.
    TasksInFewDomains {
        /// Number of tasks that must run at the same time.
        at_once: u64,
        /// Number of tasks that the rules allow at the same time in `max_domains` domains.
        allowed: u64,
        /// Maximum number of domains of the level that the job's tasks may use.
        max_domains: u32,
        /// Name of the level whose used domains are limited.
        level: String,
    },
}

impl fmt::Display for InfeasiblePolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unjudged(unjudged) => unjudged.fmt(f),
            Self::Devices { kind, count, max } => write!(
                f,
                "{count} of {kind:?} on one machine: the most there is, is {max}"
            ),
            Self::Tasks { at_once, allowed } => write!(
                f,
                "{at_once} tasks at a time; its rules allow {allowed} on all the machines described"
            ),
            Self::TasksInFewDomains {
                at_once,
                allowed,
                max_domains,
                level,
            } => write!(
                f,
                "{at_once} tasks at a time in at most {max_domains} of each {level}: its rules allow {allowed}"
            ),
        }
    }
}
