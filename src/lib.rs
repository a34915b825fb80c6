//! A cluster scheduler: users submit jobs over HTTP; controllers place them on
//! machines that they rent, by delay scheduling, and keep their truth in a
//! small state service. See `docs/design.md`.

pub mod agent_client;
pub mod api;
pub mod autoscaler;
pub mod cli;
pub mod cloud;
pub mod config;
pub mod connections;
pub mod control;
mod controller;
pub mod http;
pub mod operator_file;
pub mod peer_link;
pub mod peer_messages;
pub mod scheduler;
pub mod server;
pub mod state;
mod topology_file;

pub use controller::run;
pub use sorrelhinge_protocol::types;
pub use topology_file::TopologyFile;
