//! The operator's topology file of a running controller: read at the start, and again at
//! each SIGHUP.

use std::path::{Path, PathBuf};
use std::rc::Rc;

use sorrelhinge_topology::Topology;
use tokio::signal::unix::{signal, SignalKind};

use crate::control::Node;
use crate::operator_file::{check_topology, OperatorFileError};

/// The operator's file for the topology, read once at the start.
pub struct TopologyFile {
    /// Where it is, to be read again.
    pub path: PathBuf,
    /// What was read.
    pub first: Rc<Topology>,
}

impl TopologyFile {
    /// Reads and checks the file. The error names it, and the line or field.
    ///
    /// # Errors
    ///
    /// The file can't be read, or the line or field that is wrong.
    pub fn load(path: &Path) -> Result<Self, OperatorFileError> {
        Ok(Self {
            first: Rc::new(check_topology(path)?),
            path: path.to_owned(),
        })
    }
}

/// Reads the topology file again at each SIGHUP, until cancelled. One that is wrong changes
/// nothing.
pub(crate) async fn reload_on_hangup(node: Rc<Node>, path: PathBuf) {
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(error) => {
            tracing::error!(%error, "SIGHUP handler failed; topology can't be reloaded");
            return;
        }
    };
    while hangups.recv().await.is_some() {
        reload(&node, &path);
    }
}

fn reload(node: &Node, path: &Path) {
    match check_topology(path) {
        Ok(topology) => {
            tracing::info!(domains = topology.tree.len() - 1, "topology reloaded");
            node.set_topology(Rc::new(topology));
        }
        Err(error) => tracing::error!(%error, "topology reload failed; the earlier one stays"),
    }
}
