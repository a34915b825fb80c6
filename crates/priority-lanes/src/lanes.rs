//! The lanes that operators name, and which one a job is in.

use std::collections::BTreeMap;

use sorrelhinge_protocol::types::Priority;
use wildmatch::WildMatch;

use crate::part::Bound;

/// What all properties of lanes begin with.
pub const PREFIX: &str = "lane.";
/// The part of a lane that names none.
const DEFAULT_PART: f64 = 0.25;
/// What sums of parts may be off by, as they are rounded.
const ROUNDING: f64 = 1e-9;
/// Most lanes: each is looked at for each job that comes.
const MAX_LANES: usize = 16;

/// A lane's number: the lower goes first. It follows from the properties alone
/// (`order`, then the name), so controllers with the same properties agree. It is
/// never recorded: another file may number the lanes anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LaneId(pub u16);

/// A lane, as its properties say.
#[derive(Clone, Debug, PartialEq)]
pub struct Lane {
    /// Name.
    pub name: String,
    /// Lanes of a lower number go first.
    pub order: i64,
    /// How much it may take ahead of others.
    pub bound: Bound,
    /// Classes, `*` and `?` as in file names.
    classes: Vec<WildMatch>,
    /// Also all jobs of rank `high` with a deadline.
    high: bool,
}

impl Lane {
    fn has(&self, class: &str, priority: Priority, has_deadline: bool) -> bool {
        let urgent = self.high && priority == Priority::High && has_deadline;
        urgent || self.classes.iter().any(|c| c.matches(class))
    }
}

/// All lanes; none: nothing differs from a version without lanes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Lanes {
    lanes: Vec<Lane>,
}

/// A lane's properties as far as they are read.
#[derive(Default)]
struct Raw {
    classes: Vec<WildMatch>,
    order: i64,
    part: Option<f64>,
    high: bool,
}

/// A key of a lane's property: `lane.NAME.WHAT`.
struct Property<'a> {
    key: &'a str,
    lane: &'a str,
    what: &'a str,
}

impl<'a> Property<'a> {
    /// Of a key; none if it doesn't begin with [`PREFIX`].
    fn parse(key: &'a str) -> Result<Option<Self>, LanesError> {
        let Some(rest) = key.strip_prefix(PREFIX) else {
            return Ok(None);
        };
        let Some((lane, what)) = rest.rsplit_once('.') else {
            return Err(LanesError::NoSuchProperty(key.to_owned()));
        };
        let good = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if lane.is_empty() || !lane.chars().all(good) {
            return Err(LanesError::Name(key.to_owned()));
        }
        Ok(Some(Self { key, lane, what }))
    }
}

impl Raw {
    /// Takes the value of one property.
    fn set(&mut self, property: &Property, value: &str) -> Result<(), LanesError> {
        let key = || property.key.to_owned();
        let owned = || value.to_owned();
        match property.what {
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

    /// The lane of this name, if something can be in it.
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

/// Why properties of lanes can't be read: one line that names the key.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum LanesError {
    /// The key is no property of a lane.
    #[error("{0}: no such property")]
    NoSuchProperty(String),
    /// The lane's name has other characters.
    #[error("{0}: a lane's name has letters, digits, - and _ only")]
    Name(String),
    /// Two commas without a pattern between them, or none at all.
    #[error("{key}: an empty pattern in {value:?}")]
    EmptyPattern {
        /// The key.
        key: String,
        /// Its value.
        value: String,
    },
    /// The order is not a whole number.
    #[error("{key}: not a whole number: {value:?}")]
    Order {
        /// The key.
        key: String,
        /// Its value.
        value: String,
    },
    /// The part is not a number within 0 to 1.
    #[error("{key}: not a number within 0 to 1: {value:?}")]
    Part {
        /// The key.
        key: String,
        /// Its value.
        value: String,
    },
    /// A value that should be `true` or `false`.
    #[error("{0}: neither true nor false")]
    High(String),
    /// More lanes than are looked at for each job.
    #[error("{}*: more than {} lanes", PREFIX, MAX_LANES)]
    TooMany,
    /// No class belongs to the lane.
    #[error("{}{}.classes: missing", PREFIX, .0)]
    NoClasses(String),
    /// All lanes' parts together.
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
    /// Reads `lane.NAME.classes` (patterns with commas between), `.order` (a whole
    /// number, 0 if absent), `.part` (0 to 1, 0.25 if absent; all
    /// lanes' together at most 1) and `.high`
    /// (`true`: also all jobs of rank `high` with a deadline). Keys that don't
    /// begin with [`PREFIX`] are not looked at. The error is one line that names
    /// the key.
    ///
    /// # Errors
    ///
    /// The first key that is unknown, or whose value is not valid.
    pub fn read<'a>(
        pairs: impl IntoIterator<Item = (&'a str, &'a str)>,
    ) -> Result<Self, LanesError> {
        let mut raws: BTreeMap<&str, Raw> = BTreeMap::new();
        for (key, value) in pairs {
            let Some(property) = Property::parse(key)? else {
                continue;
            };
            let raw = raws.entry(property.lane).or_default();
            raw.set(&property, value.trim())?;
        }
        if raws.len() > MAX_LANES {
            return Err(LanesError::TooMany);
        }
        let named = raws.into_iter().map(|(name, raw)| raw.named(name));
        let mut lanes = named.collect::<Result<Vec<Lane>, _>>()?;
        // Else two lanes together could keep everybody else waiting.
        let all: f64 = lanes.iter().map(|l| l.bound.part()).sum();
        if all > 1.0 + ROUNDING {
            return Err(LanesError::Parts(all));
        }
        lanes.sort_by(|a, b| (a.order, &a.name).cmp(&(b.order, &b.name)));
        Ok(Self { lanes })
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }

    /// The lane of a job: the first in order that has it.
    pub fn of(&self, class: &str, priority: Priority, has_deadline: bool) -> Option<LaneId> {
        let has = |lane: &Lane| lane.has(class, priority, has_deadline);
        let found = self.lanes.iter().position(has)?;
        u16::try_from(found).ok().map(LaneId)
    }

    /// A lane.
    pub fn get(&self, id: LaneId) -> Option<&Lane> {
        self.lanes.get(usize::from(id.0))
    }

    /// All lanes, the first in order first.
    pub fn iter(&self) -> impl Iterator<Item = (LaneId, &Lane)> {
        (0..).map(LaneId).zip(&self.lanes)
    }
}
