//! A cluster scheduler: users submit jobs over HTTP; controllers place them on
//! machines that they rent, by delay scheduling, and keep their truth in a
//! small state service. See `docs/design.md`.

pub mod api;
pub mod cli;
pub mod cloud;
pub mod config;
pub mod connections;
pub mod control;
pub mod fleet;
pub mod http;
pub mod operator_file;
pub mod peer;
pub mod sched;
pub mod serve;
pub mod shares;
pub mod state;
mod topology_file;
pub mod worker;

pub use sorrelhinge_protocol::types;
pub use topology_file::TopologyFile;

use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::task::LocalSet;

use crate::config::Config;
use crate::control::Node;

/// Runs one controller until `stop` resolves.
pub async fn run(
    config: Config,
    topology: Option<TopologyFile>,
    stop: impl std::future::Future<Output = ()>,
) -> std::io::Result<()> {
    let cfg = Rc::new(config);
    let users = TcpListener::bind(cfg.bind).await?;
    let peers = TcpListener::bind(cfg.peer_bind).await?;
    // All routines belong to this set and end with it.
    let routines = LocalSet::new();
    routines
        .run_until(async {
            let others = cfg.others.iter().map(|o| (o.node.clone(), o.address));
            let first = topology.as_ref().map(|t| t.first.clone());
            let node = Node::new(cfg.clone(), peer::Peers::start(&cfg.node, others), first);
            node.start();
            if let Some(file) = topology {
                tokio::task::spawn_local(topology_file::reload_on_hangup(node.clone(), file.path));
            }
            let heard = Rc::new(api::ForPeers::new(node.clone()));
            tokio::task::spawn_local(peer::listen(peers, 4 * cfg.others.len() + 8, heard));
            tokio::task::spawn_local(serve::serve(node.clone(), users));
            tracing::info!(node = %cfg.node, zone = %cfg.zone, bind = %cfg.bind, "serving");
            stop.await;
            node.resign("asked to end").await;
        })
        .await;
    Ok(())
}
