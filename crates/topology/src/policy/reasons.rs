//! Why a policy excludes a machine, or every machine that there can be. The
//! texts are for users; code compares the values.

use std::fmt;

/// Why a policy can't be judged, so that nothing is placed under it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnjudgedPolicy {
    /// The job has placement rules and the controller has no topology file.
    NoTopology,
    /// A required rule names a level that the topology file doesn't.
    UnknownLevel {
        /// The name in the rule.
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

/// The rule that excludes a machine for one more task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExclusionRule {
    /// The policy can't be judged.
    Unjudged(UnjudgedPolicy),
    /// A spread rule is of a level at which the machine's domain is not known.
    UnknownDomain {
        /// The level's name.
        level: String,
    },
    /// The machine's domain has as many of the job's tasks as a spread rule allows.
    Spread {
        /// The level's name.
        level: String,
        /// Most tasks in one domain of the level.
        max: u32,
    },
    /// The job's other tasks are in another domain of the level.
    Together {
        /// The level's name.
        level: String,
    },
    /// The task would use one more domain of the level than it may.
    Fewest {
        /// The level's name.
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

/// Why a job can never be placed on the machines that the topology file describes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InfeasiblePolicy {
    /// The policy can't be judged.
    Unjudged(UnjudgedPolicy),
    /// More devices of a kind are required than any machine has.
    Devices {
        /// Kind of device.
        kind: String,
        /// Devices that a task needs on its machine.
        count: u32,
        /// Most that one machine has.
        max: u32,
    },
    /// The required rules allow fewer tasks at a time than the job runs.
    Tasks {
        /// Tasks that have to run at a time.
        at_once: u64,
        /// Tasks that the rules allow at a time.
        allowed: u64,
    },
    /// The same within as many domains of a level as the tasks may use.
    TasksInFewDomains {
        /// Tasks that have to run at a time.
        at_once: u64,
        /// Tasks that the rules allow at a time in so many domains.
        allowed: u64,
        /// Most domains of the level that the tasks may use.
        max_domains: u32,
        /// The level's name.
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
