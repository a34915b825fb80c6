//! What the other controllers last said of themselves. All of it is a hint: it decides
//! whom to ask first, never what holds.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::peer_link::{PeerAnnouncement, POLLS, SHARDS};
use crate::types::NodeId;

/// What is known of another controller's standing is of use for so long.
const ANNOUNCEMENT_VALID_FOR: Duration = Duration::from_secs(3);
/// Who has not said for so long what it knows may be another version by now.
const CAPABILITIES_VALID_FOR: Duration = Duration::from_secs(3);

/// What one controller last said.
struct PeerStatus {
    received_at: Instant,
    announcement: PeerAnnouncement,
    /// What its version knows: the flags of a hint.
    capabilities: u16,
}

/// The last status of each controller that was heard since the start.
#[derive(Default)]
pub(super) struct PeerStatuses {
    by_node: RefCell<HashMap<NodeId, PeerStatus>>,
}

impl PeerStatuses {
    /// A controller said how it stands, and what its version knows.
    pub(super) fn record(&self, node: &NodeId, announcement: PeerAnnouncement, capabilities: u16) {
        let status = PeerStatus {
            received_at: Instant::now(),
            announcement,
            capabilities,
        };
        self.by_node.borrow_mut().insert(node.clone(), status);
    }

    /// How a controller stands; the default if it has not said so lately.
    pub(super) fn peer_status_of(&self, node: &NodeId) -> PeerAnnouncement {
        let by_node = self.by_node.borrow();
        let fresh = by_node
            .get(node)
            .filter(|status| status.received_at.elapsed() < ANNOUNCEMENT_VALID_FOR);
        fresh.map(|status| status.announcement).unwrap_or_default()
    }

    /// The largest part of heartbeats, in thousandths, that any controller passed to others
    /// when it was last heard, however long ago.
    pub(super) fn greatest_share(&self) -> u16 {
        let by_node = self.by_node.borrow();
        let shares = by_node.values().map(|status| status.announcement.share);
        shares.max().unwrap_or(0)
    }

    /// When any controller was last heard; none: never.
    pub(super) fn last_received_at(&self) -> Option<Instant> {
        let by_node = self.by_node.borrow();
        by_node.values().map(|status| status.received_at).max()
    }

    /// Whether a controller's version knows several shards.
    pub(super) fn knows_shards(&self, node: &NodeId) -> bool {
        let by_node = self.by_node.borrow();
        let status = by_node.get(node);
        status.is_some_and(|status| status.capabilities & SHARDS != 0)
    }

    /// Whether a controller said lately that it answers polls for others.
    pub(super) fn answers_polls(&self, node: &NodeId) -> bool {
        let by_node = self.by_node.borrow();
        let status = by_node.get(node);
        status.is_some_and(|s| {
            s.received_at.elapsed() < CAPABILITIES_VALID_FOR && s.capabilities & POLLS != 0
        })
    }
}
