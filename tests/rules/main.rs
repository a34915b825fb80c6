//! The shard owner's core against stand-ins for the state service and the
//! workers, with lost replies, late commands, takeovers and owners that do not
//! know they are deposed. Every step checks the rules of the protocol.

mod command_copies;
mod commands;
mod decision_trace;
mod direct_commands;
mod faults;
#[path = "../golden_files/mod.rs"]
mod golden_files;
mod invariants;
#[path = "../cluster_states/machine_types.rs"]
mod machine_types;
mod meetings;
mod mistaken;
mod pipelines;
mod progress;
mod random;
mod recording;
mod scenes;
mod service;
#[path = "../settings/mod.rs"]
mod settings;
mod shards;
mod silence;
mod store;
mod suspicion;
mod takeover;
#[path = "../golden_files/trace.rs"]
mod trace;
mod views;
mod worker;
mod workload;
mod world;

pub(crate) use self::command_copies::*;
pub(crate) use self::faults::*;
pub(crate) use self::invariants::*;
pub(crate) use self::scenes::*;
pub(crate) use self::store::*;
pub(crate) use self::trace::Trace;
pub(crate) use self::worker::*;
pub(crate) use self::workload::*;
pub(crate) use self::world::*;

const STEP_S: f64 = 0.5;
const LEASE_S: f64 = 20.0;
const CANCEL_S: f64 = 40.0;
