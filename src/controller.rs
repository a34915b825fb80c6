//! One controller as a whole: its listeners, its node and the tasks that serve them.
//!
//! Everything runs on one thread. All tasks, also those that are spawned later, belong to
//! the [`LocalSet`] of [`run`]: they are cancelled together, by dropping it, when `run`
//! returns.

use std::future::Future;
use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};

use crate::config::Config;
use crate::control::Node;
use crate::topology_file::{reload_on_hangup, TopologyFile};
use crate::{api, peer_link, server};

/// Connections of other controllers that are open at a time: so many for each of them,
/// as one that restarts leaves some behind, and so many more.
const PEER_CONNECTIONS: usize = 4;
const SPARE_PEER_CONNECTIONS: usize = 8;

/// Runs one controller until `stop` resolves. The error is that of a listener.
///
/// # Errors
///
/// A listener could not be opened.
pub async fn run(
    config: Config,
    topology: Option<TopologyFile>,
    stop: impl Future<Output = ()>,
) -> std::io::Result<()> {
    let config = Rc::new(config);
    let users = TcpListener::bind(config.bind).await?;
    let peers = TcpListener::bind(config.peer_bind).await?;
    let tasks = LocalSet::new();
    tasks
        .run_until(async {
            let node = start(&config, topology, users, peers);
            stop.await;
            node.resign("asked to end").await;
        })
        .await;
    Ok(())
}

/// Spawns the controller's tasks, in the present [`LocalSet`].
fn start(
    config: &Rc<Config>,
    topology: Option<TopologyFile>,
    users: TcpListener,
    peers: TcpListener,
) -> Rc<Node> {
    let others = config.others.iter().map(|o| (o.node.clone(), o.address));
    let first = topology.as_ref().map(|t| t.first.clone());
    let lines = peer_link::Peers::start(&config.node, others);
    let node = Node::new(config.clone(), lines, first);
    node.start();
    if let Some(file) = topology {
        spawn_local(reload_on_hangup(node.clone(), file.path));
    }
    let handler = Rc::new(api::ForPeers::new(node.clone()));
    let max = PEER_CONNECTIONS * config.others.len() + SPARE_PEER_CONNECTIONS;
    spawn_local(peer_link::listen(peers, max, handler));
    spawn_local(server::serve(node.clone(), users));
    tracing::info!(node = %config.node, zone = %config.zone, bind = %config.bind, "serving");
    node
}
