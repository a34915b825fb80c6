//! The platform's settings (TOML) and the operators' own (Java properties).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use serde::Deserialize;
use sorrelhinge_calendar::settings::{Calendar, Known};
use sorrelhinge_lanes::Lanes;
use sorrelhinge_overload::freshness::horizon_s;

use crate::state::record::JobRecord;
use crate::types::{Amount, NodeId, Zone};

/// What is wrong with the settings, in one line that names the field.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("{0}: {1}")]
    Read(PathBuf, std::io::Error),
    /// The file is not TOML, or a field is missing or of the wrong type.
    #[error("{0}: {1}")]
    Toml(PathBuf, String),
    /// A field's value is out of range.
    #[error("{0}: {1}")]
    Field(String, String),
}

fn field(name: impl Into<String>, why: impl Into<String>) -> ConfigError {
    ConfigError::Field(name.into(), why.into())
}

#[derive(Deserialize)]
struct RawOther {
    node: String,
    #[serde(default)]
    area: String,
    address: SocketAddr,
}

#[derive(Deserialize)]
struct RawOutside {
    cloud: SocketAddr,
    state: SocketAddr,
}

#[derive(Deserialize)]
struct RawTeam {
    name: String,
    #[serde(default)]
    cpus: f64,
    #[serde(default)]
    cpus_max: f64,
    #[serde(default)]
    gpus: f64,
    #[serde(default)]
    gpus_max: f64,
}

#[derive(Deserialize)]
struct RawObjective {
    kind: String,
    class: Option<String>,
    within_s: Option<f64>,
    times: Option<f64>,
}

#[derive(Deserialize)]
struct RawWorkers {
    report_s: f64,
    lease_s: f64,
    cancel_s: f64,
}

#[derive(Deserialize)]
struct RawState {
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    txn_ops: usize,
}

#[derive(Deserialize)]
struct RawCloud {
    rps: f64,
    list_lag_s: f64,
}

#[derive(Deserialize)]
struct RawLimits {
    max_sockets: usize,
}

#[derive(Deserialize)]
struct RawParams {
    zones: Vec<String>,
    #[serde(default)]
    clock_off_ms: f64,
    #[serde(default)]
    teams: Vec<RawTeam>,
    #[serde(default)]
    objectives: Vec<RawObjective>,
    workers: RawWorkers,
    state: RawState,
    cloud: RawCloud,
    machine_limits: Option<RawLimits>,
}

#[derive(Deserialize)]
struct Raw {
    node: String,
    area: String,
    bind: SocketAddr,
    peer_bind: SocketAddr,
    #[serde(default)]
    others: Vec<RawOther>,
    outside: RawOutside,
    params: RawParams,
}

/// A team's guarantee and limit.
#[derive(Clone, Debug)]
pub struct TeamConfig {
    /// Name.
    pub name: Arc<str>,
    /// Guaranteed amount.
    pub guarantee: Amount,
    /// The most that its tasks may use at any time.
    pub limit: Amount,
}

/// A team's limit as the platform hands it over. "A value of 0 means none"
/// (DEPLOY): a team that is listed with 0 has no limit of its own. It was taken
/// for a limit of nothing once, and all that a guest team submitted was refused.
fn limit(cpus: f64, gpus: f64) -> Amount {
    let given = Amount::new(cpus, gpus, 0.0);
    let or_none = |given| if given == 0 { Amount::NO_LIMIT } else { given };
    Amount {
        cpu: or_none(given.cpu),
        gpu: or_none(given.gpu),
        ram: 0,
    }
}

/// Another controller.
#[derive(Clone, Debug)]
pub struct Other {
    /// Its name.
    pub node: NodeId,
    /// Its zone.
    pub zone: Zone,
    /// Its address for the exchange between controllers.
    pub address: SocketAddr,
}

/// Everything that the service is told, checked.
#[derive(Clone, Debug)]
pub struct Config {
    /// This controller.
    pub node: NodeId,
    /// Its zone.
    pub zone: Zone,
    /// Where users and workers reach it.
    pub bind: SocketAddr,
    /// Where other controllers reach it.
    pub peer_bind: SocketAddr,
    /// The other controllers.
    pub others: Vec<Other>,
    /// The cloud.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
    /// All zones.
    pub zones: Vec<Zone>,
    /// All teams.
    pub teams: Vec<TeamConfig>,
    /// The shortest time that an aim allows a class to start in.
    pub start_aims: HashMap<Arc<str>, f64>,
    /// The times that aims allow a class to finish in, the shortest first.
    pub finish_aims: HashMap<Arc<str>, Vec<f64>>,
    /// The multiples of its deadline that aims allow a class.
    pub deadline_aims: HashMap<Arc<str>, Vec<f64>>,
    /// Usual time between a worker's reports.
    pub report_s: f64,
    /// A worker's lease.
    pub lease_s: f64,
    /// From cancelling a job to its last task gone.
    pub cancel_s: f64,
    /// State service requests per second, all controllers together.
    pub state_rps: f64,
    /// State service changes per second, all controllers together.
    pub state_write_rps: f64,
    /// Largest value, in bytes.
    pub value_bytes: usize,
    /// Most changes in a transaction.
    pub txn_ops: usize,
    /// Cloud requests per second, all controllers together.
    pub cloud_rps: f64,
    /// How late the machine list is.
    pub list_lag_s: f64,
    /// Most sockets of this process.
    pub max_sockets: usize,
    /// The operators' own settings.
    pub tuning: Tuning,
    /// Priority lanes, see `docs/lanes.md`.
    pub lanes: Lanes,
    /// By how much the time of day may be wrong, in milliseconds.
    pub clock_off_ms: f64,
    /// The operators' file of windows, if the feature is on: see
    /// `docs/calendar.md`.
    pub calendar: Option<Arc<Calendar>>,
}

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
    /// the lease, for as long as its tasks may run on unheard. One that the
    /// machine list does not show any more is given back earlier.
    pub silent_s: Option<f64>,
    /// Seconds that a machine stays idle before it is given back.
    pub idle_s: f64,
    /// Room kept free for work to come: this many typical jobs of each class.
    pub headroom: f64,
    /// Machines are kept for this part of what all teams are guaranteed.
    pub floor: f64,
    /// Whether lower priorities and borrowers are stopped for others.
    pub preempt: bool,
    /// The machines are divided into at least so many blocks.
    pub blocks_least: u32,
    /// A block moves to another controller so often, in seconds, even if nothing
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
            blocks_least: 1,
            move_every_s: None,
            staging_least_gb: None,
        }
    }
}

fn number(key: &str, text: &str, least: f64, most: f64) -> Result<f64, ConfigError> {
    let value: f64 = text
        .trim()
        .parse()
        .map_err(|_| field(key, format!("not a number: {text:?}")))?;
    in_range(key, value, least, most)
}

fn in_range(key: &str, value: f64, least: f64, most: f64) -> Result<f64, ConfigError> {
    if value.is_finite() && (least..=most).contains(&value) {
        Ok(value)
    } else {
        Err(field(
            key,
            format!("{value} is not within {least} to {most}"),
        ))
    }
}

impl Tuning {
    /// Reads the operators' properties, but for those of lanes; a key that is not
    /// known is refused.
    pub fn parse(text: &[u8]) -> Result<Self, ConfigError> {
        let pairs = java_properties::read(text).map_err(|e| field("properties", e.to_string()))?;
        let mut tuning = Self::default();
        for (key, value) in &pairs {
            // Read by `lanes`, which refuses those that it doesn't know.
            if key.starts_with(sorrelhinge_lanes::PREFIX) {
                continue;
            }
            let t = &mut tuning;
            match key.as_str() {
                "delay.fetches" => t.delay_fetches = number(key, value, 0.0, 100.0)?,
                "delay.max.s" => t.delay_max_s = number(key, value, 0.0, 600.0)?,
                "leader.lease.s" => t.leader_lease_s = number(key, value, 1.0, 60.0)?,
                "machine.silent.s" => t.silent_s = Some(number(key, value, 5.0, 600.0)?),
                "fleet.idle.s" => t.idle_s = number(key, value, 0.0, 86_400.0)?,
                "fleet.headroom" => t.headroom = number(key, value, 0.0, 10.0)?,
                "fleet.floor" => t.floor = number(key, value, 0.0, 10.0)?,
                "blocks.least" => {
                    let most = f64::from(sorrelhinge_blocks::shard::MAX_BLOCKS);
                    let least = number(key, value, 1.0, most)?;
                    if least.fract() != 0.0 {
                        return Err(field(key, format!("{least} is not a whole number")));
                    }
                    t.blocks_least = least as u32;
                }
                "blocks.move.every.s" => {
                    t.move_every_s = Some(number(key, value, 2.0, 86_400.0)?);
                }
                "staging.least.gb" => {
                    t.staging_least_gb = Some(number(key, value, 0.001, 1e6)?);
                }
                "preempt" => {
                    t.preempt = value
                        .trim()
                        .parse()
                        .map_err(|_| field(key, "neither true nor false"))?;
                }
                _ => return Err(field(key, "no such property")),
            }
        }
        Ok(tuning)
    }
}

/// Reads the lanes in the operators' properties.
pub fn lanes(text: &[u8]) -> Result<Lanes, ConfigError> {
    let pairs = java_properties::read(text).map_err(|e| field("properties", e.to_string()))?;
    let pairs = pairs.iter().map(|(k, v)| (k.as_str(), v.as_str()));
    Lanes::read(pairs).map_err(|why| field("properties", why.to_string()))
}

impl Config {
    /// Whether a recorded job is in a lane.
    pub fn in_lane(&self, job: &JobRecord) -> bool {
        job.spec.as_ref().is_some_and(|s| {
            let lane = self.lanes.of(&s.class, s.priority, s.deadline_s.is_some());
            lane.is_some()
        })
    }
    /// Seconds that a machine may be silent before it is given back.
    pub fn silent_s(&self) -> f64 {
        self.tuning.silent_s.unwrap_or(self.lease_s + 0.5)
    }
}

fn read(path: &Path) -> Result<Vec<u8>, ConfigError> {
    std::fs::read(path).map_err(|e| ConfigError::Read(path.to_owned(), e))
}

impl Config {
    /// Reads and checks the platform's file and, if given, the properties.
    pub fn load(path: &Path, properties: Option<&Path>) -> Result<Self, ConfigError> {
        let text = String::from_utf8_lossy(&read(path)?).into_owned();
        let mut config = Self::parse(&text).map_err(|e| match e {
            ConfigError::Toml(_, why) => ConfigError::Toml(path.to_owned(), why),
            other => other,
        })?;
        if let Some(file) = properties {
            let text = read(file)?;
            config.tuning = Tuning::parse(&text)?;
            config.lanes = lanes(&text)?;
        }
        Ok(config)
    }

    /// What a calendar is checked by, but for machine types, which only the cloud
    /// tells. `now_ms`: the time of day.
    pub fn calendar_known(&self, now_ms: i64) -> Known {
        let teams = self.teams.iter();
        Known {
            teams: teams.map(|t| (t.name.to_string(), t.limit)).collect(),
            zones: self.zones.iter().map(|z| z.as_str().to_owned()).collect(),
            types: Vec::new(),
            now_ms,
        }
    }

    /// Reads and checks the operators' file of windows, and turns the feature on.
    /// The error is one line that names the file.
    pub fn with_calendar(mut self, path: &Path, now_ms: i64) -> Result<Self, ConfigError> {
        let wrong = |why| ConfigError::Toml(path.to_owned(), why);
        let text = String::from_utf8_lossy(&read(path)?).into_owned();
        let calendar =
            sorrelhinge_calendar::settings::read(&text).map_err(|e| wrong(e.to_string()))?;
        sorrelhinge_calendar::settings::check(&calendar, &self.calendar_known(now_ms))
            .map_err(|e| wrong(e.to_string()))?;
        self.calendar = Some(Arc::new(calendar));
        Ok(self)
    }

    /// Reads and checks the platform's settings.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let raw: Raw = toml::from_str(text).map_err(|e| {
            // The line itself names the field; the message alone may not.
            let at = e
                .span()
                .map_or(0, |span| text[..span.start].matches('\n').count());
            let line: String = text
                .lines()
                .nth(at)
                .unwrap_or("")
                .trim()
                .chars()
                .take(80)
                .collect();
            let why = format!(
                "line {} ({line}): {}",
                at + 1,
                e.message().replace('\n', " ")
            );
            ConfigError::Toml(PathBuf::new(), why)
        })?;
        let p = raw.params;
        let positive = |key: &str, value: f64| in_range(key, value, 1e-3, 1e9);
        let mut teams: Vec<TeamConfig> = Vec::new();
        for team in p.teams {
            for (key, value) in [
                ("cpus", team.cpus),
                ("cpus_max", team.cpus_max),
                ("gpus", team.gpus),
                ("gpus_max", team.gpus_max),
            ] {
                in_range(
                    &format!("params.teams.{}.{key}", team.name),
                    value,
                    0.0,
                    1e9,
                )?;
            }
            if teams.iter().any(|t| *t.name == *team.name) {
                return Err(field(
                    "params.teams.name",
                    format!("{:?} appears twice", team.name),
                ));
            }
            teams.push(TeamConfig {
                name: Arc::from(team.name.as_str()),
                guarantee: Amount::new(team.cpus, team.gpus, 0.0),
                limit: limit(team.cpus_max, team.gpus_max),
            });
        }
        let mut start_aims: HashMap<Arc<str>, f64> = HashMap::new();
        let mut finish_aims: HashMap<Arc<str>, Vec<f64>> = HashMap::new();
        let mut deadline_aims: HashMap<Arc<str>, Vec<f64>> = HashMap::new();
        for aim in p.objectives {
            let Some(class) = aim.class.map(Arc::<str>::from) else {
                continue;
            };
            match (aim.kind.as_str(), aim.within_s, aim.times) {
                ("wait", Some(within), _) => {
                    let least = start_aims.entry(class).or_insert(within);
                    *least = least.min(within);
                }
                ("finished", Some(within), _) => {
                    finish_aims.entry(class).or_default().push(within);
                }
                ("deadline", _, Some(times)) => {
                    deadline_aims.entry(class).or_default().push(times);
                }
                _ => {}
            }
        }
        for aims in finish_aims.values_mut().chain(deadline_aims.values_mut()) {
            aims.sort_by(f64::total_cmp);
        }
        if p.zones.is_empty() {
            return Err(field("params.zones", "no zone is named"));
        }
        // No answer to a report is safe then, so none would be given.
        if horizon_s(p.workers.lease_s, p.workers.cancel_s) <= 0.0 {
            let why = "has to be longer than a lease, or cancelled tasks could outlast it";
            return Err(field("params.workers.cancel_s", why));
        }
        if p.state.txn_ops < 2 {
            return Err(field(
                "params.state.txn_ops",
                "a transaction needs at least 2 changes",
            ));
        }
        Ok(Self {
            node: NodeId::from(raw.node.as_str()),
            zone: Zone::from(raw.area.as_str()),
            bind: raw.bind,
            peer_bind: raw.peer_bind,
            others: raw
                .others
                .into_iter()
                .map(|o| Other {
                    node: NodeId::from(o.node.as_str()),
                    zone: Zone::from(o.area.as_str()),
                    address: o.address,
                })
                .collect(),
            cloud: raw.outside.cloud,
            state: raw.outside.state,
            zones: p.zones.iter().map(|z| Zone::from(z.as_str())).collect(),
            teams,
            start_aims,
            finish_aims,
            deadline_aims,
            report_s: positive("params.workers.report_s", p.workers.report_s)?,
            lease_s: positive("params.workers.lease_s", p.workers.lease_s)?,
            cancel_s: positive("params.workers.cancel_s", p.workers.cancel_s)?,
            state_rps: in_range("params.state.rps", p.state.rps, 5.0, 1e9)?,
            state_write_rps: in_range("params.state.write_rps", p.state.write_rps, 1.0, 1e9)?,
            value_bytes: (in_range("params.state.value_kb", p.state.value_kb, 1.0, 1e6)? * 1024.0)
                as usize,
            txn_ops: p.state.txn_ops,
            cloud_rps: in_range("params.cloud.rps", p.cloud.rps, 0.1, 1e9)?,
            list_lag_s: in_range("params.cloud.list_lag_s", p.cloud.list_lag_s, 0.0, 3600.0)?,
            max_sockets: p.machine_limits.map_or(1000, |l| l.max_sockets.max(100)),
            tuning: Tuning::default(),
            lanes: Lanes::default(),
            clock_off_ms: in_range("params.clock_off_ms", p.clock_off_ms, 0.0, 3.6e6)?,
            calendar: None,
        })
    }
}
