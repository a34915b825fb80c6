//! Last status of each other controller. Every status is a hint: it decides which
//! controller to ask first, and never decides which state is valid.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::peer_link::{PeerAnnouncement, POLLS, SHARDS};
use crate::types::NodeId;

/// Time for which an announcement of another controller is used.
const ANNOUNCEMENT_VALID_FOR: Duration = Duration::from_secs(3);
/// Time for which announced capabilities are used to choose who answers polls. A controller
/// that was silent for longer may run another version by now.
const CAPABILITIES_VALID_FOR: Duration = Duration::from_secs(3);

/// Last status that one controller announced.
struct PeerStatus {
    received_at: Instant,
    announcement: PeerAnnouncement,
    /// Flags that the controller sent with its status. They name the features that its version
    /// supports.
    capabilities: u16,
}

/// Last status of each controller that announced one since this process started.
#[derive(Default)]
pub(super) struct PeerStatuses {
    by_node: RefCell<HashMap<NodeId, PeerStatus>>,
}

impl PeerStatuses {
    /// Records the status and the capabilities that a controller announced.
    pub(super) fn record(&self, node: &NodeId, announcement: PeerAnnouncement, capabilities: u16) {
        let status = PeerStatus {
            received_at: Instant::now(),
            announcement,
            capabilities,
        };
        self.by_node.borrow_mut().insert(node.clone(), status);
    }

    /// Returns the last announcement of a controller, or the default if there is no recent
    /// one.
    pub(super) fn peer_status_of(&self, node: &NodeId) -> PeerAnnouncement {
        let by_node = self.by_node.borrow();
        let fresh = by_node
            .get(node)
            .filter(|status| status.received_at.elapsed() < ANNOUNCEMENT_VALID_FOR);
        fresh.map(|status| status.announcement).unwrap_or_default()
    }

    /// Returns the largest share of workers, in thousandths, that any controller offloaded
    /// to others at its last announcement, however old that is.
    pub(super) fn max_offload_share(&self) -> u16 {
        let by_node = self.by_node.borrow();
        let shares = by_node.values().map(|status| status.announcement.share);
        shares.max().unwrap_or(0)
    }

    /// Returns when the last status of any controller arrived. Returns `None` if none ever
    /// did.
    pub(super) fn last_received_at(&self) -> Option<Instant> {
        let by_node = self.by_node.borrow();
        by_node.values().map(|status| status.received_at).max()
    }

    /// Returns whether a controller's version supports several shards.
    pub(super) fn supports_shards(&self, node: &NodeId) -> bool {
        let by_node = self.by_node.borrow();
        let status = by_node.get(node);
        status.is_some_and(|status| status.capabilities & SHARDS != 0)
    }

    /// Returns whether a controller announced lately that it answers polls for others.
    pub(super) fn answers_polls(&self, node: &NodeId) -> bool {
        let by_node = self.by_node.borrow();
        let status = by_node.get(node);
        status.is_some_and(|s| {
            s.received_at.elapsed() < CAPABILITIES_VALID_FOR && s.capabilities & POLLS != 0
        })
    }
}
