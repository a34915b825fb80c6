//! The platform's settings, a TOML file (DEPLOY).

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use serde::Deserialize;
use sorrelhinge_lease_safety::freshness::horizon_s;
use sorrelhinge_priority_lanes::Lanes;
use sorrelhinge_protocol::invalid::MalformedToml;

use super::objectives::{ClassObjectives, RawObjective};
use super::{field, in_range, Config, ConfigError, Other, StateLimits, TeamConfig, Tuning};
use crate::types::{Amount, NodeId, Zone};

/// A line of the file that an error shows is cut after so many characters.
const LINE_SHOWN: usize = 80;

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
struct RawWorkers {
    #[serde(rename = "report_s")]
    heartbeat_s: f64,
    lease_s: f64,
    cancel_s: f64,
}

#[derive(Deserialize)]
struct RawState {
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    txn_ops: usize,
    #[serde(default)]
    next: RawNext,
}

/// The limits that the state service will have from some moment on; what is not named
/// stays.
#[derive(Default, Deserialize)]
struct RawNext {
    write_rps: Option<f64>,
    value_kb: Option<f64>,
    txn_ops: Option<usize>,
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

/// Where the file is wrong: the line itself names the field, the message alone may not.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line} ({shown}): {reason}")]
pub struct WrongLine {
    /// The line's number, from 1 on.
    pub line: usize,
    /// How the line begins.
    pub shown: String,
    /// What is wrong with it.
    pub reason: String,
}

impl WrongLine {
    fn new(text: &str, error: &toml::de::Error) -> Self {
        let MalformedToml { line, reason } = MalformedToml::new(text, error);
        let shown = text.lines().nth(line - 1).unwrap_or("").trim();
        Self {
            line,
            shown: shown.chars().take(LINE_SHOWN).collect(),
            reason,
        }
    }
}

impl From<RawOther> for Other {
    fn from(raw: RawOther) -> Self {
        Self {
            node: NodeId::from(raw.node.as_str()),
            zone: Zone::from(raw.area.as_str()),
            address: raw.address,
        }
    }
}

fn teams(raw: Vec<RawTeam>) -> Result<Vec<TeamConfig>, ConfigError> {
    let mut teams: Vec<TeamConfig> = Vec::new();
    for team in raw {
        for (key, value) in [
            ("cpus", team.cpus),
            ("cpus_max", team.cpus_max),
            ("gpus", team.gpus),
            ("gpus_max", team.gpus_max),
        ] {
            let name = format!("params.teams.{}.{key}", team.name);
            in_range(&name, value, 0.0, 1e9)?;
        }
        if teams.iter().any(|t| *t.name == *team.name) {
            let why = format!("{:?} appears twice", team.name);
            return Err(field("params.teams.name", why));
        }
        teams.push(TeamConfig {
            name: Arc::from(team.name.as_str()),
            guarantee: Amount::new(team.cpus, team.gpus, 0.0),
            limit: limit(team.cpus_max, team.gpus_max),
        });
    }
    Ok(teams)
}

/// Checks conditions between fields.
fn check(params: &RawParams) -> Result<(), ConfigError> {
    if params.zones.is_empty() {
        return Err(field("params.zones", "no zone is named"));
    }
    // No answer to a heartbeat is safe then, so none would be given.
    if horizon_s(params.workers.lease_s, params.workers.cancel_s) <= 0.0 {
        let why = "has to be longer than a lease, or cancelled tasks could outlast it";
        return Err(field("params.workers.cancel_s", why));
    }
    let txn_ops = [
        ("params.state.txn_ops", Some(params.state.txn_ops)),
        ("params.state.next.txn_ops", params.state.next.txn_ops),
    ];
    for (key, ops) in txn_ops {
        if ops.is_some_and(|ops| ops < 2) {
            return Err(field(key, "a transaction needs at least 2 changes"));
        }
    }
    Ok(())
}

/// Bytes of the largest value, from KiB.
fn value_bytes(key: &str, kib: f64) -> Result<usize, ConfigError> {
    Ok((in_range(key, kib, 1.0, 1e6)? * 1024.0) as usize)
}

fn state_limits(raw: &RawState) -> Result<StateLimits, ConfigError> {
    let rate = |key: &str, rate| in_range(key, rate, 1.0, 1e9);
    let stored_value_bytes = value_bytes("params.state.value_kb", raw.value_kb)?;
    let next = raw.next.value_kb;
    let next = next.map(|kib| value_bytes("params.state.next.value_kb", kib));
    let next_rate = raw.next.write_rps;
    let next_rate = next_rate.map(|next| rate("params.state.next.write_rps", next));
    Ok(StateLimits {
        write_rps: rate("params.state.write_rps", raw.write_rps)?,
        next_write_rps: next_rate.transpose()?,
        value_bytes: stored_value_bytes.min(next.transpose()?.unwrap_or(usize::MAX)),
        stored_value_bytes,
        txn_ops: raw.txn_ops.min(raw.next.txn_ops.unwrap_or(usize::MAX)),
    })
}

impl Config {
    /// Reads and checks the platform's settings.
    ///
    /// # Errors
    ///
    /// The line that is no TOML, or the setting that is missing or out of range.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let raw: Raw = toml::from_str(text).map_err(|e| ConfigError::Toml {
            path: PathBuf::new(),
            source: WrongLine::new(text, &e),
        })?;
        let p = raw.params;
        check(&p)?;
        let positive = |key: &str, value: f64| in_range(key, value, 1e-3, 1e9);
        let teams = teams(p.teams)?;
        let class_objectives = ClassObjectives::of(p.objectives);
        Ok(Self {
            node: NodeId::from(raw.node.as_str()),
            zone: Zone::from(raw.area.as_str()),
            bind: raw.bind,
            peer_bind: raw.peer_bind,
            others: raw.others.into_iter().map(Other::from).collect(),
            cloud: raw.outside.cloud,
            state: raw.outside.state,
            zones: p.zones.iter().map(|z| Zone::from(z.as_str())).collect(),
            teams,
            start_objectives: class_objectives.start,
            finish_objectives: class_objectives.finish,
            deadline_objectives: class_objectives.deadline,
            heartbeat_s: positive("params.workers.report_s", p.workers.heartbeat_s)?,
            lease_s: positive("params.workers.lease_s", p.workers.lease_s)?,
            cancel_s: positive("params.workers.cancel_s", p.workers.cancel_s)?,
            state_rps: in_range("params.state.rps", p.state.rps, 5.0, 1e9)?,
            state_limits: state_limits(&p.state)?,
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
