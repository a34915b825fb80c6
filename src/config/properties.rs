//! The operators' own settings: Java properties.

use sorrelhinge_priority_lanes::Lanes;
use sorrelhinge_sharding::shard::MAX_SHARDS;

use super::{field, in_range, ConfigError};

/// The operators' own settings, see `docs/operations.md`.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// T1+T2 as a multiple of the time that the image's fetch takes.
    pub delay_fetches: f64,
    /// Upper bound of T1+T2 in seconds.
    pub delay_max_s: f64,
    /// Life of the leader's lease in the state service, in seconds.
    pub leader_lease_s: f64,
    /// Seconds that a machine may be silent before it is given back; none:
    /// the lease, for as long as its tasks may run on without contact. One that the
    /// machine list does not show any more is given back earlier.
    pub silent_s: Option<f64>,
    /// Seconds that a machine stays idle before it is given back.
    pub idle_s: f64,
    /// Capacity kept free for work to come: this many typical jobs of each class.
    pub headroom: f64,
    /// Machines are kept for this part of what all teams are guaranteed.
    pub floor: f64,
    /// Whether lower priorities and borrowers are stopped for others.
    pub preempt: bool,
    /// The machines are divided into at least so many shards.
    pub shards_least: u32,
    /// A shard moves to another controller so often, in seconds, even if nothing
    /// asks for it; none: only if something does.
    pub move_every_s: Option<f64>,
    /// Images of at least so many GB go from machine to machine; none: all come
    /// from their origin.
    pub staging_least_gb: Option<f64>,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            delay_fetches: 0.05,
            delay_max_s: 5.0,
            leader_lease_s: 2.5,
            silent_s: None,
            idle_s: 40.0,
            headroom: 0.5,
            floor: 0.35,
            preempt: true,
            shards_least: 1,
            move_every_s: None,
            staging_least_gb: None,
        }
    }
}

/// A number within bounds.
fn number(key: &str, text: &str, least: f64, max: f64) -> Result<f64, ConfigError> {
    let value: f64 = text
        .trim()
        .parse()
        .map_err(|_| field(key, format!("not a number: {text:?}")))?;
    in_range(key, value, least, max)
}

impl Tuning {
    /// Reads the operators' properties, but for those of lanes; a key that is not
    /// known is refused.
    ///
    /// # Errors
    ///
    /// The first key that is unknown or has a wrong value.
    pub fn parse(text: &[u8]) -> Result<Self, ConfigError> {
        let pairs = java_properties::read(text).map_err(|e| field("properties", e.to_string()))?;
        let mut tuning = Self::default();
        for (key, value) in &pairs {
            // Read by `lanes`, which refuses those that it doesn't know.
            if !key.starts_with(sorrelhinge_priority_lanes::PREFIX) {
                tuning.set(key, value)?;
            }
        }
        Ok(tuning)
    }

    /// Takes one property.
    fn set(&mut self, key: &str, value: &str) -> Result<(), ConfigError> {
        match key {
            "delay.fetches" => self.delay_fetches = number(key, value, 0.0, 100.0)?,
            "delay.max.s" => self.delay_max_s = number(key, value, 0.0, 600.0)?,
            "leader.lease.s" => self.leader_lease_s = number(key, value, 1.0, 60.0)?,
            "machine.silent.s" => self.silent_s = Some(number(key, value, 5.0, 600.0)?),
            "fleet.idle.s" => self.idle_s = number(key, value, 0.0, 86_400.0)?,
            "fleet.headroom" => self.headroom = number(key, value, 0.0, 10.0)?,
            "fleet.floor" => self.floor = number(key, value, 0.0, 10.0)?,
            "blocks.least" => self.shards_least = shard_count(key, value)?,
            "blocks.move.every.s" => {
                self.move_every_s = Some(number(key, value, 2.0, 86_400.0)?);
            }
            "staging.least.gb" => {
                self.staging_least_gb = Some(number(key, value, 0.001, 1e6)?);
            }
            "preempt" => self.preempt = boolean(key, value)?,
            _ => return Err(field(key, "no such property")),
        }
        Ok(())
    }
}

/// A number of shards.
fn shard_count(key: &str, text: &str) -> Result<u32, ConfigError> {
    let count = number(key, text, 1.0, f64::from(MAX_SHARDS))?;
    if count.fract() != 0.0 {
        return Err(field(key, format!("{count} is not a whole number")));
    }
    Ok(count as u32)
}

fn boolean(key: &str, text: &str) -> Result<bool, ConfigError> {
    text.trim()
        .parse()
        .map_err(|_| field(key, "neither true nor false"))
}

/// Reads the lanes in the operators' properties.
///
/// # Errors
///
/// The first key of a lane that is unknown or has a wrong value.
pub fn lanes(text: &[u8]) -> Result<Lanes, ConfigError> {
    let pairs = java_properties::read(text).map_err(|e| field("properties", e.to_string()))?;
    let pairs = pairs.iter().map(|(k, v)| (k.as_str(), v.as_str()));
    Lanes::read(pairs).map_err(|why| field("properties", why.to_string()))
}
