//! The worker of a machine (PROTOCOL, "Workers -> controller nodes" and
//! "Controller nodes -> workers"). What it decides is in [`core`], without I/O
//! or clock; what outlives it is in [`journal`] and [`attempt`]; a task is run
//! by a small process of its own, [`supervise`], which ends it when the lease
//! ends, whether or not the agent lives. Images come from an origin, in one piece
//! ([`download`]), or, chunk by chunk, from other agents too ([`fetch`]); this one
//! gives them what it has ([`peer_transfer`], [`upload`]). See `docs/agent.md`.

pub mod agent;
pub mod attempt;
pub mod checksums;
pub mod client;
pub mod clock;
pub mod core;
pub mod describe;
pub mod download;
pub mod fetch;
pub mod images;
pub mod journal;
pub mod part;
pub mod peer_transfer;
pub mod settings;
pub mod sources;
pub mod supervise;
pub mod upload;
