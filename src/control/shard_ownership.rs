//! The shards that this controller owns, and its hints about the others: the zones of machines,
//! the use and demand that other owners publish, and the leader's memory of past assignments.
//!
//! [`ShardOwnership::adopt`] adds a shard. [`ShardOwnership::release_shard`] and
//! [`ShardOwnership::retain_granted`] remove shards. Everything else only works on owned
//! shards. No borrow is held across an await.

use std::cell::{Ref, RefCell, RefMut};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use sorrelhinge_sharding::owners::{Member, Owners, RecordedShard, ShardPreference, Step};
use sorrelhinge_sharding::shard::ShardId;
use tokio::time::Instant;

use super::core::{Core, MachineZones};
use crate::peer_messages::Needs;
use crate::state::view::View;
use crate::types::{FencingToken, MachineId, NodeId, Time, Zone};

/// Time for which the use and demand that a shard's owner published are valid.
const NEEDS_VALID_FOR: Duration = Duration::from_secs(3);
/// Number of machine zones that are kept beyond twice the number of listed machines.
const MACHINE_ZONES_SLACK: usize = 1000;

/// State of each owned shard, in the order of the shard numbers. If the machines are not divided
/// into shards, the single shard has number 0.
#[derive(Default)]
pub(super) struct OwnedShards {
    cores: BTreeMap<ShardId, Core>,
}

impl OwnedShards {
    /// Returns whether no shard is owned.
    pub(super) fn is_empty(&self) -> bool {
        self.cores.is_empty()
    }

    /// Returns the number of owned shards.
    pub(super) fn len(&self) -> usize {
        self.cores.len()
    }

    /// Returns whether the shard is owned.
    pub(super) fn contains(&self, shard: ShardId) -> bool {
        self.cores.contains_key(&shard)
    }

    /// Returns the state of the shard, or `None` if it is not owned.
    pub(super) fn get(&self, shard: ShardId) -> Option<&Core> {
        self.cores.get(&shard)
    }

    /// Returns the mutable state of the shard, or `None` if it is not owned.
    pub(super) fn get_mut(&mut self, shard: ShardId) -> Option<&mut Core> {
        self.cores.get_mut(&shard)
    }

    /// Returns the owned shard with the lowest number, which is the only one while there is one
    /// shard.
    pub(super) fn first(&self) -> Option<&Core> {
        self.cores.values().next()
    }

    /// Returns the owned shard with the lowest number, mutably.
    pub(super) fn first_mut(&mut self) -> Option<&mut Core> {
        self.cores.values_mut().next()
    }

    /// Iterates over the owned shards in the order of their numbers.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&ShardId, &Core)> {
        self.cores.iter()
    }

    /// Iterates mutably over the owned shards in the order of their numbers.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (&ShardId, &mut Core)> {
        self.cores.iter_mut()
    }

    /// Iterates over the states of the owned shards in the order of their numbers.
    pub(super) fn values(&self) -> impl Iterator<Item = &Core> {
        self.cores.values()
    }

    /// Iterates mutably over the states of the owned shards in the order of their numbers.
    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut Core> {
        self.cores.values_mut()
    }
}

/// Latest use and demand that a shard's owner published, and the time of their arrival.
struct PublishedNeeds {
    received_at: Instant,
    needs: Rc<Needs>,
}

/// The owned shards, and hints about the others.
#[derive(Default)]
pub(super) struct ShardOwnership {
    owned: RefCell<OwnedShards>,
    /// Zones of the machines of all shards. The cores of the owned shards share this map.
    machine_zones: MachineZones,
    /// Use and demand of each shard, as its owner published them.
    needs: RefCell<HashMap<ShardId, PublishedNeeds>>,
    /// Highest fencing token issued for each shard that was owned and released.
    issued: RefCell<HashMap<ShardId, FencingToken>>,
    /// The leader's memory of past shard assignments.
    assignments: RefCell<Owners>,
}

impl ShardOwnership {
    /// Borrows the owned shards.
    pub(super) fn owned(&self) -> Ref<'_, OwnedShards> {
        self.owned.borrow()
    }

    /// Borrows the owned shards mutably. Callers can't add or remove shards this way.
    pub(super) fn owned_mut(&self) -> RefMut<'_, OwnedShards> {
        self.owned.borrow_mut()
    }

    /// Returns whether this controller owns no shard.
    pub(super) fn is_empty(&self) -> bool {
        self.owned.borrow().is_empty()
    }

    /// Returns whether this controller owns the shard.
    pub(super) fn owns(&self, shard: ShardId) -> bool {
        self.owned.borrow().contains(shard)
    }

    /// Returns whether this controller owns the shard by exactly this grant.
    pub(super) fn owns_by_grant(&self, shard: ShardId, grant: u64) -> bool {
        let owned = self.owned.borrow();
        owned.get(shard).is_some_and(|core| core.grant == grant)
    }

    /// Returns the numbers of the owned shards in ascending order.
    pub(super) fn ids(&self) -> Vec<ShardId> {
        self.owned.borrow().cores.keys().copied().collect()
    }

    /// Adds an owned shard, with the state recovered from the records.
    pub(super) fn adopt(&self, shard: ShardId, core: Core) {
        self.owned.borrow_mut().cores.insert(shard, core);
    }

    /// Stops acting for the shard at once, and returns its state if the shard was owned.
    pub(super) fn release_shard(&self, shard: ShardId) -> Option<Core> {
        let core = self.owned.borrow_mut().cores.remove(&shard)?;
        self.record_issued(shard, &core);
        Some(core)
    }

    /// Records the fencing tokens that were issued for a shard which is released.
    fn record_issued(&self, shard: ShardId, core: &Core) {
        let issued = core.highest_fencing_token();
        self.issued.borrow_mut().insert(shard, issued);
    }

    /// Returns the highest fencing token that was issued for a released shard under this grant.
    /// The records may still grant a shard that this controller released, and it then owns the
    /// shard again.
    pub(super) fn issued_under(&self, shard: ShardId, grant: u64) -> Option<FencingToken> {
        let issued = self.issued.borrow().get(&shard).copied();
        issued.filter(|token| token.grant() == grant)
    }

    /// Removes the owned shards that the records no longer grant to this controller. Returns
    /// whether any were removed.
    pub(super) fn retain_granted(&self, view: &View) -> bool {
        let mut owned = self.owned.borrow_mut();
        let before = owned.len();
        owned.cores.retain(|shard, core| {
            let kept = is_granted(core, view);
            if !kept {
                self.record_issued(*shard, core);
                tracing::info!(%shard, grant = core.grant, "shard granted to another owner; stepping down");
            }
            kept
        });
        owned.len() < before
    }

    /// Returns the zones of the machines of all shards. Every owned shard shares this map.
    pub(super) fn machine_zones(&self) -> MachineZones {
        self.machine_zones.clone()
    }

    /// Records the zones of machines.
    pub(super) fn learn_zones(&self, zones: impl Iterator<Item = (MachineId, Zone)>) {
        self.machine_zones.borrow_mut().extend(zones);
    }

    /// Records the zones of all `listed` machines that the cloud lists. Keeps the zones of
    /// other machines, because machines rented since are not listed yet, and discards these
    /// zones only once there are too many.
    pub(super) fn learn_listed_zones(
        &self,
        listed: usize,
        zones: impl Iterator<Item = (MachineId, Zone)>,
    ) {
        let mut machine_zones = self.machine_zones.borrow_mut();
        if machine_zones.len() > 2 * listed + MACHINE_ZONES_SLACK {
            machine_zones.clear();
        }
        machine_zones.extend(zones);
    }

    /// Records the use and demand that a shard's owner published.
    pub(super) fn record_needs(&self, needs: Needs) {
        let shard = needs.shard;
        let published = PublishedNeeds {
            received_at: Instant::now(),
            needs: Rc::new(needs),
        };
        self.needs.borrow_mut().insert(shard, published);
    }

    /// Returns the use and demand of the shard, or `None` if its owner did not publish them
    /// lately.
    pub(super) fn needs_of(&self, shard: ShardId) -> Option<Rc<Needs>> {
        let needs = self.needs.borrow();
        let published = needs.get(&shard)?;
        (published.received_at.elapsed() < NEEDS_VALID_FOR).then(|| published.needs.clone())
    }

    /// Returns the next step of the shard assignment if one is due. Only the leader calls this.
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

    /// Discards the memory of past assignments, because a new leader starts without it.
    pub(super) fn forget_assignments(&self) {
        *self.assignments.borrow_mut() = Owners::default();
    }
}

/// Returns whether the records still grant the core's shard to this controller.
fn is_granted(core: &mut Core, view: &View) -> bool {
    if core.scope.is_part() || view.shard_count() > 1 {
        core.still_granted(view)
    } else {
        view.grant.value.number <= core.grant
    }
}
