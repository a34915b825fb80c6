//! Which shards this controller owns, and what it knows of the others: the machines'
//! zones, what other owners use and want, and, as leader, when shards were assigned.
//!
//! A shard comes in by [`ShardOwnership::adopt`] and goes out by
//! [`ShardOwnership::release_shard`] or [`ShardOwnership::retain_granted`]; everything else
//! only works on shards that are owned. No borrow is held across an await.

use std::cell::{Ref, RefCell, RefMut};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use sorrelhinge_sharding::owners::{Member, Owners, RecordedShard, ShardPreference, Step};
use sorrelhinge_sharding::shard::ShardId;
use tokio::time::Instant;

use super::core::{Core, Places};
use crate::peer_messages::Needs;
use crate::state::view::View;
use crate::types::{MachineId, NodeId, Time, Zone};

/// What is known of another shard's needs is of use for so long.
const NEEDS_VALID_FOR: Duration = Duration::from_secs(3);
/// Machines whose place is remembered beyond twice those that are listed.
const MACHINE_ZONES_SLACK: usize = 1000;

/// The state of each shard that this controller owns, in the order of their numbers;
/// while there is one shard, it has number 0.
#[derive(Default)]
pub(super) struct OwnedShards {
    cores: BTreeMap<ShardId, Core>,
}

impl OwnedShards {
    /// Whether none is owned.
    pub(super) fn is_empty(&self) -> bool {
        self.cores.is_empty()
    }

    /// How many are owned.
    pub(super) fn len(&self) -> usize {
        self.cores.len()
    }

    /// Whether a shard is owned.
    pub(super) fn contains(&self, shard: ShardId) -> bool {
        self.cores.contains_key(&shard)
    }

    /// A shard's state; none: it is not owned.
    pub(super) fn get(&self, shard: ShardId) -> Option<&Core> {
        self.cores.get(&shard)
    }

    /// The same, to be changed.
    pub(super) fn get_mut(&mut self, shard: ShardId) -> Option<&mut Core> {
        self.cores.get_mut(&shard)
    }

    /// The one with the lowest number: the only one while there is one shard.
    pub(super) fn first(&self) -> Option<&Core> {
        self.cores.values().next()
    }

    /// The same, to be changed.
    pub(super) fn first_mut(&mut self) -> Option<&mut Core> {
        self.cores.values_mut().next()
    }

    /// All in the order of their numbers.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&ShardId, &Core)> {
        self.cores.iter()
    }

    /// The same, to be changed.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (&ShardId, &mut Core)> {
        self.cores.iter_mut()
    }

    /// Their states in that order.
    pub(super) fn values(&self) -> impl Iterator<Item = &Core> {
        self.cores.values()
    }

    /// The same, to be changed.
    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut Core> {
        self.cores.values_mut()
    }
}

/// What the owner of a shard last published of it.
struct PublishedNeeds {
    received_at: Instant,
    needs: Rc<Needs>,
}

/// Owned shards, and hints about the others.
#[derive(Default)]
pub(super) struct ShardOwnership {
    owned: RefCell<OwnedShards>,
    /// Where machines are, of all shards; the owned ones read it too.
    places: Places,
    /// What each shard uses and wants.
    needs: RefCell<HashMap<ShardId, PublishedNeeds>>,
    /// What this controller remembers as leader of who owns what.
    assignments: RefCell<Owners>,
}

impl ShardOwnership {
    /// The owned shards, to be read.
    pub(super) fn owned(&self) -> Ref<'_, OwnedShards> {
        self.owned.borrow()
    }

    /// The owned shards, to work on; none is added or removed this way.
    pub(super) fn owned_mut(&self) -> RefMut<'_, OwnedShards> {
        self.owned.borrow_mut()
    }

    /// Whether this controller owns no shard.
    pub(super) fn is_empty(&self) -> bool {
        self.owned.borrow().is_empty()
    }

    /// Whether this controller owns a shard.
    pub(super) fn owns(&self, shard: ShardId) -> bool {
        self.owned.borrow().contains(shard)
    }

    /// Whether this controller owns a shard by that very grant.
    pub(super) fn owns_by_grant(&self, shard: ShardId, grant: u64) -> bool {
        let owned = self.owned.borrow();
        owned.get(shard).is_some_and(|core| core.grant == grant)
    }

    /// The numbers of the owned shards, in order.
    pub(super) fn ids(&self) -> Vec<ShardId> {
        self.owned.borrow().cores.keys().copied().collect()
    }

    /// Owns a shard from now on, with the state recovered from the records.
    pub(super) fn adopt(&self, shard: ShardId, core: Core) {
        self.owned.borrow_mut().cores.insert(shard, core);
    }

    /// Stops to act for a shard at once.
    pub(super) fn release_shard(&self, shard: ShardId) -> Option<Core> {
        self.owned.borrow_mut().cores.remove(&shard)
    }

    /// Gives up the shards that are granted anew by the records; true if any were.
    pub(super) fn retain_granted(&self, view: &View) -> bool {
        let mut owned = self.owned.borrow_mut();
        let before = owned.len();
        owned.cores.retain(|shard, core| {
            let kept = is_granted(core, view);
            if !kept {
                tracing::info!(%shard, grant = core.grant, "shard granted to another owner; stepping down");
            }
            kept
        });
        owned.len() < before
    }

    /// The zones of machines of all shards, shared with each owned one.
    pub(super) fn machine_zones(&self) -> Places {
        self.places.clone()
    }

    /// Machines are in these zones.
    pub(super) fn learn_zones(&self, zones: impl Iterator<Item = (MachineId, Zone)>) {
        self.places.borrow_mut().extend(zones);
    }

    /// All machines that are listed, `listed` of them, are in these zones. Forgets the
    /// others once there are too many: those that were rented since are not listed yet.
    pub(super) fn learn_listed_zones(
        &self,
        listed: usize,
        zones: impl Iterator<Item = (MachineId, Zone)>,
    ) {
        let mut places = self.places.borrow_mut();
        if places.len() > 2 * listed + MACHINE_ZONES_SLACK {
            places.clear();
        }
        places.extend(zones);
    }

    /// A shard's owner published what it uses and wants.
    pub(super) fn record_needs(&self, needs: Needs) {
        let shard = needs.shard;
        let published = PublishedNeeds {
            received_at: Instant::now(),
            needs: Rc::new(needs),
        };
        self.needs.borrow_mut().insert(shard, published);
    }

    /// What a shard uses and wants; none if that was not published lately.
    pub(super) fn needs_of(&self, shard: ShardId) -> Option<Rc<Needs>> {
        let needs = self.needs.borrow();
        let published = needs.get(&shard)?;
        (published.received_at.elapsed() < NEEDS_VALID_FOR).then(|| published.needs.clone())
    }

    /// As leader: the next step of who owns what, if one is due.
    pub(super) fn next_assignment(
        &self,
        shards: &BTreeMap<ShardId, RecordedShard>,
        alive: &BTreeMap<NodeId, Member>,
        preference: &ShardPreference,
        now: Time,
    ) -> Option<Step> {
        self.assignments
            .borrow_mut()
            .next(shards, alive, preference, now)
    }

    /// A new leader remembers nothing of earlier assignments.
    pub(super) fn forget_assignments(&self) {
        *self.assignments.borrow_mut() = Owners::default();
    }
}

/// Whether the records still grant this shard to this owner.
fn is_granted(core: &mut Core, view: &View) -> bool {
    if core.scope.is_part() || view.shard_count() > 1 {
        core.still_granted(view)
    } else {
        view.grant.value.number <= core.grant
    }
}
