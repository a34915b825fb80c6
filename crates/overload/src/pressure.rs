//! Which resource binds, and what is shed while it does.
//!
//! Overload is a state that is entered soon and left late: what was shed comes
//! back as soon as it is let in again, and a state that changes with every
//! second would be worse than either.

use sorrelhinge_protocol::types::Time;

use crate::decaying_mean::DecayingMean;

/// What a controller can run out of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Resource {
    /// Processor time.
    Processor,
    /// Sockets.
    Sockets,
    /// Changes in the state service.
    Changes,
    /// Calls to the cloud.
    Cloud,
}

impl Resource {
    /// For the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Processor => "processor",
            Self::Sockets => "sockets",
            Self::Changes => "changes",
            Self::Cloud => "cloud",
        }
    }
}

/// All of them.
pub const RESOURCES: [Resource; 4] = [
    Resource::Processor,
    Resource::Sockets,
    Resource::Changes,
    Resource::Cloud,
];

/// What was measured since the last look, each as a part of what there is: 1
/// is all of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// How long requests wait to be read, in seconds.
    pub wait_s: f64,
    /// Part of the sockets that is open.
    pub sockets: f64,
    /// How long the oldest change has waited to be recorded, in seconds.
    pub change_wait_s: f64,
    /// How long the oldest call to the cloud has waited, in seconds.
    pub cloud_wait_s: f64,
}

/// What is shed, each level with those before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Nothing.
    #[default]
    None,
    /// Some polls of jobs that are not over.
    Polls,
    /// New submissions.
    Submissions,
    /// Placements of the lowest rank that waits.
    Placements,
}

impl Level {
    /// For the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Polls => "polls",
            Self::Submissions => "submissions",
            Self::Placements => "placements",
        }
    }
    /// The next level.
    fn up(self) -> Self {
        match self {
            Self::None => Self::Polls,
            Self::Polls => Self::Submissions,
            Self::Submissions | Self::Placements => Self::Placements,
        }
    }
    /// The level before.
    fn down(self) -> Self {
        match self {
            Self::None | Self::Polls => Self::None,
            Self::Submissions => Self::Polls,
            Self::Placements => Self::Submissions,
        }
    }
}

/// Bounds of one resource: above `enter` it binds, below `leave` it does not.
struct Bounds {
    enter: f64,
    leave: f64,
    /// Above this it is worth turning users away, until it is half as much.
    shed: f64,
}

/// Time constant of the averages, in seconds.
const SMOOTHING_S: f64 = 1.5;
/// A resource has to bind for so long before the next level sheds.
const RAISE_AFTER_S: f64 = 4.0;
/// None may bind for so long before a level is left.
const LOWER_AFTER_S: f64 = 3.0;

/// When a resource binds, and when it is worth turning users away for it.
fn bounds(resource: Resource) -> Bounds {
    match resource {
        // Seconds of waiting: a processor that is all in use binds nothing
        // until requests wait for it.
        Resource::Processor => Bounds {
            enter: 0.6,
            leave: 0.25,
            shed: 0.6,
        },
        Resource::Sockets => Bounds {
            enter: 0.97,
            leave: 0.9,
            // It takes no socket from a worker.
            shed: f64::INFINITY,
        },
        // Seconds of waiting. Claims are held back while they wait, so it
        // takes more than many claims to come to this: the service itself is
        // slow, or others use its changes up.
        Resource::Changes => Bounds {
            enter: 4.0,
            leave: 1.5,
            shed: 30.0,
        },
        Resource::Cloud => Bounds {
            enter: 10.0,
            leave: 4.0,
            // It does not make the cloud faster.
            shed: f64::INFINITY,
        },
    }
}

/// What is known of the load.
#[derive(Clone, Debug, Default)]
pub struct Pressure {
    means: [DecayingMean; RESOURCES.len()],
    binds: [bool; RESOURCES.len()],
    sheds: [bool; RESOURCES.len()],
    level: Level,
    last: Option<Time>,
    /// Since when something binds, or nothing does, at this level.
    since: Option<Time>,
}

impl Pressure {
    /// Takes in what was measured. True if the level or what binds changed.
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

    /// Takes the sample into the means, and finds what binds and what is worth shedding for.
    fn measure(&mut self, sample: Sample, now: Time) {
        let elapsed_s = self.last.map_or(SMOOTHING_S, |t| now.since(t));
        self.last = Some(now);
        let measured = [
            sample.wait_s,
            sample.sockets,
            sample.change_wait_s,
            sample.cloud_wait_s,
        ];
        for (i, (resource, value)) in RESOURCES.into_iter().zip(measured).enumerate() {
            let Bounds { enter, leave, shed } = bounds(resource);
            let value = if value.is_finite() { value } else { 0.0 };
            // One long measurement says no more than a few of the least that
            // would bind: a process that stood still is not overloaded.
            let value = value.clamp(0.0, 3.5 * if shed.is_finite() { shed } else { enter });
            self.means[i].take(value, elapsed_s, SMOOTHING_S);
            let mean = self.means[i].value();
            let bound = if self.binds[i] { leave } else { enter };
            self.binds[i] = mean >= bound;
            let still = self.sheds[i] && mean >= 0.5 * shed;
            self.sheds[i] = self.binds[i] && (still || mean >= shed);
        }
    }

    /// The next level, if shedding was needed, or was not, for long enough.
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

    /// What is shed now.
    pub fn level(&self) -> Level {
        self.level
    }

    /// What binds now.
    pub fn binding(&self) -> impl Iterator<Item = Resource> + '_ {
        RESOURCES
            .into_iter()
            .zip(self.binds)
            .filter_map(|(r, b)| b.then_some(r))
    }

    /// Whether this one binds.
    pub fn binds(&self, resource: Resource) -> bool {
        self.binds[resource as usize]
    }
}
