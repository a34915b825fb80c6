//! Finds the resource that binds, and decides what the controller sheds while it does.
//!
//! The controller enters overload quickly and leaves it slowly. Shed load returns as soon as it is
//! admitted again, and a state that changes every second would be worse than shedding or not
//! shedding.

use sorrelhinge_protocol::types::Time;

use crate::decaying_mean::DecayingMean;

/// Resource of which a controller can run short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Resource {
    /// Processor time of the controller.
    Processor,
    /// Sockets of the controller.
    Sockets,
    /// Writes to the state service, whose rate is limited.
    Changes,
    /// Requests to the cloud, whose rate is limited.
    Cloud,
}

impl Resource {
    /// Returns the name of the resource for the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Processor => "processor",
            Self::Sockets => "sockets",
            Self::Changes => "changes",
            Self::Cloud => "cloud",
        }
    }
}

/// All resources, in the order of the arrays in [`Pressure`].
pub const RESOURCES: [Resource; 4] = [
    Resource::Processor,
    Resource::Sockets,
    Resource::Changes,
    Resource::Cloud,
];

/// Measurements of the load since the last sample.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Time for which requests wait to be read, in seconds.
    pub wait_s: f64,
    /// Share of the sockets that are open, where 1 means all.
    pub sockets: f64,
    /// Time for which the oldest change has waited to be written to the state service, in seconds.
    pub change_wait_s: f64,
    /// Time for which the oldest request to the cloud has waited, in seconds.
    pub cloud_wait_s: f64,
}

/// Level of load shedding. Each level also sheds the load of all levels before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// The controller sheds nothing.
    #[default]
    None,
    /// The controller refuses some status polls of jobs that have not ended.
    Polls,
    /// The controller refuses new job submissions.
    Submissions,
    /// The controller does not place pending tasks of the lowest rank.
    Placements,
}

impl Level {
    /// Returns the name of the shedding level for the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Polls => "polls",
            Self::Submissions => "submissions",
            Self::Placements => "placements",
        }
    }
    /// Returns the next higher shedding level.
    fn up(self) -> Self {
        match self {
            Self::None => Self::Polls,
            Self::Polls => Self::Submissions,
            Self::Submissions | Self::Placements => Self::Placements,
        }
    }
    /// Returns the next lower shedding level.
    fn down(self) -> Self {
        match self {
            Self::None | Self::Polls => Self::None,
            Self::Submissions => Self::Polls,
            Self::Placements => Self::Submissions,
        }
    }
}

/// Thresholds of one resource. The resource binds from `enter` on, until it falls below `leave`.
struct Bounds {
    enter: f64,
    leave: f64,
    /// Measurement from which on the controller sheds load, because refusing users helps. Shedding
    /// ends once the measurement falls below half of this or the resource no longer binds.
    shed: f64,
}

/// Time constant of the mean load of each resource, in seconds.
const SMOOTHING_S: f64 = 1.5;
/// Time for which shedding must be needed before the level rises, in seconds.
const RAISE_AFTER_S: f64 = 4.0;
/// Time for which shedding must not be needed before the level falls, in seconds.
const LOWER_AFTER_S: f64 = 3.0;

/// Returns the thresholds of a resource, for binding and for shedding load.
fn bounds(resource: Resource) -> Bounds {
    match resource {
        // The processor thresholds are request waits in seconds. A fully used processor does not
        // bind until requests wait for it.
        Resource::Processor => Bounds {
            enter: 0.6,
            leave: 0.25,
            shed: 0.6,
        },
        Resource::Sockets => Bounds {
            enter: 0.97,
            leave: 0.9,
            // Refusing users frees no socket for workers, so the controller sheds no load for them.
            shed: f64::INFINITY,
        },
        // The change thresholds are waits of state service writes in seconds. The controller makes
        // no new claims while earlier ones wait, so many claims alone don't reach these waits. They
        // mean that the service is slow, or that others use up its write rate.
        Resource::Changes => Bounds {
            enter: 4.0,
            leave: 1.5,
            shed: 30.0,
        },
        Resource::Cloud => Bounds {
            enter: 10.0,
            leave: 4.0,
            // Refusing users does not make the cloud faster, so the controller sheds no load for
            // it.
            shed: f64::INFINITY,
        },
    }
}

/// Smoothed load of the controller, the binding resources, and the shedding level.
#[derive(Clone, Debug, Default)]
pub struct Pressure {
    means: [DecayingMean; RESOURCES.len()],
    binds: [bool; RESOURCES.len()],
    sheds: [bool; RESOURCES.len()],
    level: Level,
    last_update: Option<Time>,
    /// Time of the last change of the shedding level, or of the need to shed.
    since: Option<Time>,
}

impl Pressure {
    /// Updates the pressure with a sample. Returns whether the shedding level or the set of binding
    /// resources changed.
    pub fn take(&mut self, sample: Sample, now: Time) -> bool {
        let binds_before = self.binds;
        let level_before = self.level;
        let shed_before = self.sheds.contains(&true);
        self.measure(sample, now);
        let shed = self.sheds.contains(&true);
        if shed != shed_before {
            self.since = Some(now);
        }
        self.step_level(shed, now);
        binds_before != self.binds || level_before != self.level
    }

    /// Adds a sample to the means, and updates which resources bind and which call for shedding.
    fn measure(&mut self, sample: Sample, now: Time) {
        let elapsed_s = self.last_update.map_or(SMOOTHING_S, |t| now.since(t));
        self.last_update = Some(now);
        let measured = [
            sample.wait_s,
            sample.sockets,
            sample.change_wait_s,
            sample.cloud_wait_s,
        ];
        for (i, (resource, value)) in RESOURCES.into_iter().zip(measured).enumerate() {
            let Bounds { enter, leave, shed } = bounds(resource);
            let value = if value.is_finite() { value } else { 0.0 };
            // A single long measurement counts no more than a few that just reach the threshold. A
            // process that was suspended is not overloaded.
            let value = value.clamp(0.0, 3.5 * if shed.is_finite() { shed } else { enter });
            self.means[i].take(value, elapsed_s, SMOOTHING_S);
            let mean = self.means[i].value();
            let bound = if self.binds[i] { leave } else { enter };
            self.binds[i] = mean >= bound;
            let still = self.sheds[i] && mean >= 0.5 * shed;
            self.sheds[i] = self.binds[i] && (still || mean >= shed);
        }
    }

    /// Raises the level if shedding was needed for long enough, or lowers it if it was not needed.
    fn step_level(&mut self, shed: bool, now: Time) {
        let since = *self.since.get_or_insert(now);
        let wait_s = if shed { RAISE_AFTER_S } else { LOWER_AFTER_S };
        if now.since(since) < wait_s {
            return;
        }
        self.level = if shed {
            self.level.up()
        } else {
            self.level.down()
        };
        self.since = Some(now);
    }

    /// Returns the current level of load shedding.
    pub fn level(&self) -> Level {
        self.level
    }

    /// Returns the resources that bind now.
    pub fn binding(&self) -> impl Iterator<Item = Resource> + '_ {
        RESOURCES
            .into_iter()
            .zip(self.binds)
            .filter_map(|(r, b)| b.then_some(r))
    }

    /// Returns whether a resource binds now.
    pub fn binds(&self, resource: Resource) -> bool {
        self.binds[resource as usize]
    }
}
