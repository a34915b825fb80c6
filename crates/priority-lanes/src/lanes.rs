//! Definitions of the priority lanes, and the selection of a job's lane.

use std::collections::BTreeMap;

use sorrelhinge_protocol::types::Priority;
use wildmatch::WildMatch;

use crate::part::Bound;

/// Prefix of the keys of all lane properties.
pub const PREFIX: &str = "lane.";
/// Part of a lane whose properties give no part.
const DEFAULT_PART: f64 = 0.25;
/// Tolerance for the rounding error in the sum of the parts of all lanes.
const ROUNDING: f64 = 1e-9;
/// Maximum number of lanes. The limit exists because each new job is compared with each
/// lane.
const MAX_LANES: usize = 16;

/// Position of a lane in the order of all lanes. The scheduler serves lanes with lower
/// positions first. The position depends only on the properties (`order`, then the name), so
/// controllers with the same properties agree. It is never stored in a record, because
/// another properties file may number the lanes differently.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LaneId(pub u16);

/// Priority lane as its properties define it.
#[derive(Clone, Debug, PartialEq)]
pub struct Lane {
    /// Name of the lane, which is part of its property keys.
    pub name: String,
    /// Sort value among the lanes. The scheduler serves lanes with lower values first.
    pub order: i64,
    /// Limit on the resources that the lane may take ahead of other jobs.
    pub bound: Bound,
    /// Patterns of the job classes in the lane, with the wildcards `*` and `?` of file names.
    classes: Vec<WildMatch>,
    /// Whether the lane also takes all jobs of priority `high` that have a deadline.
    high: bool,
}

impl Lane {
    fn matches(&self, class: &str, priority: Priority, has_deadline: bool) -> bool {
        let urgent = self.high && priority == Priority::High && has_deadline;
        urgent || self.classes.iter().any(|c| c.matches(class))
    }
}

/// All priority lanes in order. Without lanes the scheduler behaves like a version that has
/// no lanes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Lanes {
    lanes: Vec<Lane>,
}

/// Properties of one lane that were read so far.
#[derive(Default)]
struct LaneProperties {
    classes: Vec<WildMatch>,
    order: i64,
    part: Option<f64>,
    high: bool,
}

/// Parsed key of a lane property: `lane.NAME.WHAT`.
struct Property<'a> {
    key: &'a str,
    lane: &'a str,
    setting: &'a str,
}

impl<'a> Property<'a> {
    /// Parses a property key. Returns `None` if the key doesn't begin with [`PREFIX`].
    fn parse(key: &'a str) -> Result<Option<Self>, LanesError> {
        let Some(rest) = key.strip_prefix(PREFIX) else {
            return Ok(None);
        };
        let Some((lane, setting)) = rest.rsplit_once('.') else {
            return Err(LanesError::NoSuchProperty(key.to_owned()));
        };
        let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if lane.is_empty() || !lane.chars().all(allowed) {
            return Err(LanesError::Name(key.to_owned()));
        }
        Ok(Some(Self { key, lane, setting }))
    }
}

impl LaneProperties {
    /// Parses and stores the value of one property.
    fn set(&mut self, property: &Property, value: &str) -> Result<(), LanesError> {
        let key = || property.key.to_owned();
        let owned = || value.to_owned();
        match property.setting {
            "classes" => self.classes = classes(property.key, value)?,
            "order" => {
                self.order = value.parse().map_err(|_| LanesError::Order {
                    key: key(),
                    value: owned(),
                })?;
            }
            "part" => {
                let part = value.parse().ok().filter(|p| (0.0..=1.0).contains(p));
                self.part = Some(part.ok_or_else(|| LanesError::Part {
                    key: key(),
                    value: owned(),
                })?);
            }
            "high" => self.high = value.parse().map_err(|_| LanesError::High(key()))?,
            _ => return Err(LanesError::NoSuchProperty(key())),
        }
        Ok(())
    }

    /// Builds the lane `name`. Fails if no job could be in the lane.
    fn named(self, name: &str) -> Result<Lane, LanesError> {
        if self.classes.is_empty() && !self.high {
            return Err(LanesError::NoClasses(name.to_owned()));
        }
        Ok(Lane {
            name: name.to_owned(),
            order: self.order,
            bound: Bound::new(self.part.unwrap_or(DEFAULT_PART)),
            classes: self.classes,
            high: self.high,
        })
    }
}

/// Error in the properties of lanes. The text is one line that names the property key.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum LanesError {
    /// The property key begins with [`PREFIX`] but is not a lane property.
    #[error("{0}: no such property")]
    NoSuchProperty(String),
    /// The lane's name has a character other than a letter, a digit, `-` or `_`.
    #[error("{0}: a lane's name has letters, digits, - and _ only")]
    Name(String),
    /// The list of class patterns has an empty pattern or is empty.
    #[error("{key}: an empty pattern in {value:?}")]
    EmptyPattern {
        /// Key of the property.
        key: String,
        /// Rejected value of the property.
        value: String,
    },
    /// The value of an `order` property is not a whole number.
    #[error("{key}: not a whole number: {value:?}")]
    Order {
        /// Key of the property.
        key: String,
        /// Rejected value of the property.
        value: String,
    },
    /// The value of a `part` property is not a number from 0 to 1.
    #[error("{key}: not a number within 0 to 1: {value:?}")]
    Part {
        /// Key of the property.
        key: String,
        /// Rejected value of the property.
        value: String,
    },
    /// The value of a `high` property is neither `true` nor `false`.
    #[error("{0}: neither true nor false")]
    High(String),
    /// The properties define more than the maximum number of lanes.
    #[error("{}*: more than {} lanes", PREFIX, MAX_LANES)]
    TooMany,
    /// The lane has neither class patterns nor `high`, so no job could be in the lane.
    #[error("{}{}.classes: missing", PREFIX, .0)]
    NoClasses(String),
    /// The sum of the parts of all lanes is above 1.
    #[error("{}*.part: {} of all lanes is above 1", PREFIX, .0)]
    Parts(f64),
}

fn classes(key: &str, value: &str) -> Result<Vec<WildMatch>, LanesError> {
    let patterns = value.split(',').map(str::trim);
    let patterns: Vec<WildMatch> = patterns
        .map(|p| match p {
            "" => Err(LanesError::EmptyPattern {
                key: key.to_owned(),
                value: value.to_owned(),
            }),
            p => Ok(WildMatch::new(p)),
        })
        .collect::<Result<_, _>>()?;
    Ok(patterns)
}

impl Lanes {
    /// Reads all lanes from properties and ignores keys that don't begin with [`PREFIX`]. A
    /// lane has these properties:
    ///
    /// - `lane.NAME.classes`: class patterns, separated by commas;
    /// - `lane.NAME.order`: a whole number, 0 if absent;
    /// - `lane.NAME.part`: a number from 0 to 1, 0.25 if absent; the sum for all lanes is at
    ///   most 1;
    /// - `lane.NAME.high`: if `true`, the lane also takes all jobs of priority `high` with a
    ///   deadline.
    ///
    /// # Errors
    ///
    /// Returns an error for the first key that is unknown or whose value is not valid. Its
    /// text is one line that names the key.
    pub fn read<'a>(
        pairs: impl IntoIterator<Item = (&'a str, &'a str)>,
    ) -> Result<Self, LanesError> {
        let mut by_lane: BTreeMap<&str, LaneProperties> = BTreeMap::new();
        for (key, value) in pairs {
            let Some(property) = Property::parse(key)? else {
                continue;
            };
            let properties = by_lane.entry(property.lane).or_default();
            properties.set(&property, value.trim())?;
        }
        if by_lane.len() > MAX_LANES {
            return Err(LanesError::TooMany);
        }
        let named = by_lane
            .into_iter()
            .map(|(name, properties)| properties.named(name));
        let mut lanes = named.collect::<Result<Vec<Lane>, _>>()?;
        // With a sum above 1, two lanes together could block all other jobs.
        let all: f64 = lanes.iter().map(|l| l.bound.part()).sum();
        if all > 1.0 + ROUNDING {
            return Err(LanesError::Parts(all));
        }
        lanes.sort_by(|a, b| (a.order, &a.name).cmp(&(b.order, &b.name)));
        Ok(Self { lanes })
    }

    /// Returns whether the operator defined no lanes.
    pub fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }

    /// Returns the lane of a job, which is the first lane in order that matches the job.
    /// Returns `None` if no lane matches.
    pub fn of(&self, class: &str, priority: Priority, has_deadline: bool) -> Option<LaneId> {
        let matches = |lane: &Lane| lane.matches(class, priority, has_deadline);
        let found = self.lanes.iter().position(matches)?;
        u16::try_from(found).ok().map(LaneId)
    }

    /// Returns the lane at position `id`, or `None` if there are fewer lanes.
    pub fn get(&self, id: LaneId) -> Option<&Lane> {
        self.lanes.get(usize::from(id.0))
    }

    /// Returns all lanes with their positions, in the order in which they are served.
    pub fn iter(&self) -> impl Iterator<Item = (LaneId, &Lane)> {
        (0..).map(LaneId).zip(&self.lanes)
    }
}
