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
pub mod peer;
pub mod sched;
pub mod serve;
pub mod shares;
pub mod state;
pub mod worker;

pub use sorrelhinge_protocol::types;

use std::path::{Path, PathBuf};
use std::rc::Rc;

use sorrelhinge_topology::Topology;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use crate::config::Config;
use crate::control::Node;

/// The operator's file for the topology, read once at the start.
pub struct TopologyFile {
    /// Where it is, to be read again.
    pub path: PathBuf,
    /// What was read.
    pub first: Rc<Topology>,
}

impl TopologyFile {
    /// Reads and checks the file. The error names it, and the line or field.
    pub fn load(path: &Path) -> Result<Self, String> {
        Ok(Self {
            first: Rc::new(cli::check_topology(path)?),
            path: path.to_owned(),
        })
    }
}

/// Reads the topology file again at each SIGHUP. One that is wrong changes
/// nothing.
async fn reload(node: Rc<Node>, path: PathBuf) {
    use tokio::signal::unix::{signal, SignalKind};
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(error) => {
            tracing::error!(%error, "SIGHUP can't be had: the topology stays as it is");
            return;
        }
    };
    while hangups.recv().await.is_some() {
        match cli::check_topology(&path) {
            Ok(topology) => {
                tracing::info!(domains = topology.tree.len() - 1, "topology read again");
                node.set_topology(Rc::new(topology));
            }
            Err(error) => tracing::error!(%error, "topology: the earlier one stays"),
        }
    }
}

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
                tokio::task::spawn_local(reload(node.clone(), file.path));
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
