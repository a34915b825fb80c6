//! Several blocks: dividing the machines, who owns what, moves, and what owners
//! tell each other. Decisions are in `sorrelhinge_blocks` and in the core.

use super::*;

use sorrelhinge_blocks::owners::{how_many, Held, Member, Step, Wish};
use sorrelhinge_blocks::slices::{divide, next_transfer, Need};

use crate::peer::Kind;
use crate::shares::{encode_left, parse_left, Needs, Rented};
use crate::types::Amount;
use sorrelhinge_protocol::operators::{BlockShown, BlocksShown, PinAsked, TeamShown};

/// How often the leader looks at who owns what.
const LOOK: Duration = Duration::from_millis(300);
/// How often owners tell what they use and want.
const TELL: Duration = Duration::from_millis(700);
/// What is known of another block's needs is of use for so long.
const KNOWN: Duration = Duration::from_secs(3);
/// A block gives part of its limits away so often at the most.
const GIVE_EVERY: Duration = Duration::from_millis(1500);
/// The machines are divided only by a leader that has led for so long, in
/// seconds, and again only so long after that failed.
const DIVIDE_AFTER_S: f64 = 1.0;

impl Node {
    /// How many blocks there are, by the view.
    pub(super) fn view_blocks(&self) -> u32 {
        self.view.try_borrow().map_or(1, |v| v.block_count())
    }

    /// The block of a machine.
    pub(super) fn block_of(&self, machine: &MachineId) -> BlockId {
        of_machine(machine, self.view.borrow().block_count())
    }

    /// Whether a machine belongs to a block of this controller.
    pub(super) fn owns(&self, machine: &MachineId) -> bool {
        let block = self.block_of(machine);
        self.cores.borrow().contains_key(&block)
    }

    /// Who owns a block, as recorded.
    pub(super) fn owner_of(&self, block: BlockId) -> Option<NodeId> {
        let view = self.view.borrow();
        if view.block_count() == 1 {
            return view.leader.value.as_ref().map(|l| l.node.clone());
        }
        let held = view.blocks.get(&block)?;
        let member = view.members.get(&held.value.owner);
        let lives = member.is_some_and(|m| m.value.run == held.value.run);
        lives.then(|| held.value.owner.clone())
    }

    /// How many controllers own blocks.
    pub(super) fn owners_of_blocks(&self) -> usize {
        let view = self.view.borrow();
        let owners: std::collections::BTreeSet<&NodeId> =
            view.blocks.values().map(|b| &b.value.owner).collect();
        match view.block_count() {
            1 => 1,
            _ => owners.len().max(1),
        }
    }

    /// Says in the records that this controller lives, while there are several
    /// blocks; its lease is what its blocks hang on.
    pub(super) async fn enlist(&self, life: Duration) {
        let asked = Instant::now();
        let Ok(lease) = self.state.lease(life).await else {
            return;
        };
        let key = member_key(&self.cfg.node);
        let txn = Txn {
            when: Vec::new(),
            apply: vec![Change::write(
                key,
                &MemberRecord { run: self.run },
                Some(lease),
            )],
        };
        match self.state.txn(&txn, Urgency::First).await {
            Ok(_) => {
                self.lease.set(Some(lease));
                self.leads_until.set(asked + life);
                self.sync_wanted.notify_one();
            }
            Err(error) => tracing::info!(%error, "enlisting"),
        }
    }

    /// Whether this controller leads.
    fn leads(&self) -> bool {
        let view = self.view.borrow();
        let leader = view.leader.value.as_ref();
        self.lease.get().is_some()
            && leader.is_some_and(|l| l.node == self.cfg.node && l.run == self.run)
    }

    /// As leader: divides the machines, grants blocks and moves them.
    pub(super) async fn share_out(self: Rc<Self>) {
        let mut divide_at = None;
        loop {
            let _ = timeout(LOOK, self.shares_changed.notified()).await;
            let (loaded, blocks, leaderless) = {
                let view = self.view.borrow();
                let leaderless = view.leader.value.is_none();
                (view.loaded, view.block_count(), leaderless)
            };
            if !loaded || self.lease.get().is_none() {
                continue;
            }
            if blocks > 1 && leaderless {
                self.stand_among().await;
            } else if blocks > 1 && self.leads() {
                self.share_out_once().await;
                if self.cfg.tuning.blocks_least == 1 {
                    self.unite_machines(blocks).await;
                }
            } else if self.leads() {
                self.divide_machines(&mut divide_at).await;
            }
        }
    }

    /// Becomes leader while there are several blocks. That grants nothing.
    async fn stand_among(&self) {
        let Some(lease) = self.lease.get() else {
            return;
        };
        let term = {
            let view = self.view.borrow();
            let terms = view.blocks.values().map(|b| b.value.term);
            terms.max().unwrap_or_default()
        };
        let leader = LeaderRecord {
            node: self.cfg.node.clone(),
            run: self.run,
            term: Term(term.0 + 1),
        };
        let txn = Txn {
            // The last leader's key went with its lease.
            when: vec![When {
                key: LEADER.into(),
                stamp: Revision(0),
            }],
            apply: vec![Change::write(LEADER.into(), &leader, Some(lease))],
        };
        match self.state.txn(&txn, Urgency::First).await {
            Ok(Outcome::Done(_)) => {
                tracing::info!(term = %leader.term, "leading");
                *self.owners.borrow_mut() = Owners::default();
                self.fresh().await;
            }
            Ok(Outcome::Failed(_)) => {
                self.fresh().await;
            }
            Err(error) => {
                tracing::info!(%error, "standing for leader");
                sleep(Duration::from_millis(150)).await;
            }
        }
    }

    /// The next step of who owns what, if one is due.
    async fn share_out_once(&self) {
        let now = self.now();
        let wish = Wish {
            gather: (self.cfg.tuning.blocks_least == 1).then(|| self.cfg.node.clone()),
            move_every_s: self.cfg.tuning.move_every_s,
        };
        let step = {
            let view = self.view.borrow();
            let blocks = view.blocks.iter().map(|(block, b)| {
                let held = Held {
                    owner: b.value.owner.clone(),
                    run: b.value.run,
                    to: b.value.to.clone(),
                    pin: b.value.pin.clone(),
                };
                (*block, held)
            });
            let members = view.members.iter();
            let alive = members.map(|(node, m)| (node.clone(), Member { run: m.value.run }));
            self.owners
                .borrow_mut()
                .next(&blocks.collect(), &alive.collect(), &wish, now)
        };
        let Some(step) = step else { return };
        let change = {
            let view = self.view.borrow();
            let (block, to) = match &step {
                Step::Grant(block, to) | Step::Offer(block, to) => (*block, Some(to.clone())),
                Step::TakeBack(block) => (*block, None),
            };
            let Some(held) = view.blocks.get(&block) else {
                return;
            };
            let term = view.leader.value.as_ref().map_or(Term(0), |l| l.term);
            let mut record = held.value.clone();
            match (&step, to) {
                (Step::Grant(..), Some(to)) => {
                    let Some(member) = view.members.get(&to) else {
                        return;
                    };
                    record = BlockRecord {
                        version: BlockRecord::VERSION,
                        owner: to,
                        run: member.value.run,
                        term,
                        number: view.newest_grant() + 1,
                        to: None,
                        pin: held.value.pin.clone(),
                    };
                }
                (_, to) => record.to = to,
            }
            // Also on the leader's record: a step of one that was deposed
            // meanwhile, and is late, fails.
            Txn {
                when: vec![
                    When {
                        key: block_key(block),
                        stamp: held.stamp,
                    },
                    When {
                        key: LEADER.into(),
                        stamp: view.leader.stamp,
                    },
                ],
                apply: vec![Change::write(block_key(block), &record, None)],
            }
        };
        tracing::info!(?step, "blocks");
        match self.state.txn(&change, Urgency::First).await {
            Ok(Outcome::Done(revision)) => self.peers.announce(revision),
            Ok(Outcome::Failed(_)) => {}
            Err(error) => tracing::info!(%error, "blocks"),
        }
        // Whatever became of it, the view tells.
        self.fresh().await;
    }

    /// The other controllers all know that there may be several blocks.
    fn all_know_blocks(&self) -> bool {
        self.others_known().len() == self.cfg.others.len()
    }

    /// From one block to several: this controller owns all of them at first. Its
    /// core is frozen until nothing is under way; then each block's part of the
    /// limits is what it uses, and an equal part of the rest.
    async fn divide_machines(&self, again: &mut Option<Time>) {
        let of = how_many(self.cfg.tuning.blocks_least, self.cfg.others.len() + 1);
        let now = self.now();
        // With a topology one core must see all places.
        if of < 2 || self.topology().is_some() || !self.all_know_blocks() {
            // Also if that has changed since it was frozen.
            if let Some(core) = self.cores.borrow_mut().values_mut().next() {
                core.thaw();
            }
            return;
        }
        let due = *again.get_or_insert(now.after(DIVIDE_AFTER_S));
        let grant = {
            let mut cores = self.cores.borrow_mut();
            let Some(core) = cores.values_mut().next().filter(|_| now >= due) else {
                return;
            };
            if core.holds_gangs() {
                return;
            }
            core.freeze(now);
            if !core.settled(now) {
                return;
            }
            let zones = core.zones().map(|(id, zone)| (id.clone(), zone.clone()));
            self.places.borrow_mut().extend(zones);
            core.grant
        };
        if let Err(why) = self.divide_now(of, grant).await {
            tracing::info!(why, "the machines stay one block for now");
            *again = Some(self.now().after(5.0));
            if let Some(core) = self.cores.borrow_mut().values_mut().next() {
                core.thaw();
            }
        }
    }

    async fn divide_now(&self, of: u32, grant: u64) -> Result<(), String> {
        if !self.fresh().await {
            return Err("the state service can't be asked".into());
        }
        let (now, wall) = (self.now(), wall_ms());
        let shards = (0..of).map(|b| Shard {
            block: BlockId(b),
            of,
        });
        let (slices, stamp, term) = {
            let view = self.view.borrow();
            let used: Vec<Vec<Amount>> = shards
                .map(|shard| {
                    let grant = (shard, (grant, Revision(0)), self.places.clone());
                    let types = self.types.borrow();
                    let core =
                        Core::load_block(self.cfg.clone(), &types, &view, grant, None, now, wall);
                    core.needs().iter().map(|n| n.used).collect()
                })
                .collect();
            let limits: Vec<Amount> = self.cfg.teams.iter().map(|t| t.limit).collect();
            let slices = divide(&limits, &used).ok_or("releases wait to be recorded")?;
            (slices, view.grant.stamp, view.grant.value.term)
        };
        let guard = When {
            key: GRANT.into(),
            stamp,
        };
        let names = || self.cfg.teams.iter().map(|t| t.name.to_string());
        let parts = slices.into_iter().enumerate().map(|(b, part)| {
            let record = SliceRecord::new(names().zip(part));
            Change::write(slice_key(BlockId(b as u32)), &record, None)
        });
        let first = Txn {
            when: vec![guard.clone()],
            apply: parts.collect(),
        };
        let at = match self.state.txn(&first, Urgency::First).await {
            Ok(Outcome::Done(revision)) => revision,
            other => return Err(format!("parts of the limits: {other:?}")),
        };
        let Some(lease) = self.lease.get() else {
            return Err("the lease ended".into());
        };
        let mut when = vec![guard];
        let map = MapRecord {
            version: MapRecord::VERSION,
            blocks: of,
        };
        let fence = Fence {
            version: 2,
            blocks: of,
        };
        let member = MemberRecord { run: self.run };
        let mut apply = vec![
            Change::write(MAP.into(), &map, None),
            Change::write(GRANT.into(), &fence, None),
            Change::write(member_key(&self.cfg.node), &member, Some(lease)),
        ];
        for block in (0..of).map(BlockId) {
            when.push(When {
                key: slice_key(block),
                stamp: at,
            });
            let record = BlockRecord {
                version: BlockRecord::VERSION,
                owner: self.cfg.node.clone(),
                run: self.run,
                term,
                number: grant + 1 + u64::from(block.0),
                to: None,
                pin: None,
            };
            apply.push(Change::write(block_key(block), &record, None));
        }
        match self.state.txn(&Txn { when, apply }, Urgency::First).await {
            Ok(Outcome::Done(revision)) => {
                tracing::info!(blocks = of, "the machines are divided");
                self.peers.announce(revision);
                self.fresh().await;
                Ok(())
            }
            // If it was carried out after all, the view tells.
            other => Err(format!("blocks: {other:?}")),
        }
    }

    /// From several blocks to one, once this controller owns all of them and
    /// nothing is under way: its grant is above all of theirs.
    async fn unite_machines(&self, of: u32) {
        let now = self.now();
        let (txn, grant) = {
            let view = self.view.borrow();
            let mut cores = self.cores.borrow_mut();
            let whole = (0..of).all(|b| {
                let held = view.blocks.get(&BlockId(b));
                let core = cores.get(&BlockId(b));
                let held = held.filter(|h| h.value.to.is_none());
                held.zip(core)
                    .is_some_and(|(h, c)| h.value.number == c.grant)
            });
            if !whole {
                return;
            }
            for c in cores.values_mut() {
                c.freeze(now);
            }
            if !cores.values().all(|c| c.settled(now)) {
                return;
            }
            let term = view.leader.value.as_ref().map_or(Term(0), |l| l.term);
            let grant = GrantRecord {
                owner: Some(self.cfg.node.clone()),
                term,
                number: view.newest_grant() + 1,
            };
            let map = MapRecord {
                version: MapRecord::VERSION,
                blocks: 1,
            };
            let mut when = vec![When {
                key: LEADER.into(),
                stamp: view.leader.stamp,
            }];
            let mut apply = vec![
                Change::write(MAP.into(), &map, None),
                Change::write(GRANT.into(), &grant, None),
            ];
            for (block, held) in &view.blocks {
                when.push(When {
                    key: block_key(*block),
                    stamp: held.stamp,
                });
                apply.push(Change::Delete {
                    delete: block_key(*block),
                });
            }
            (Txn { when, apply }, grant)
        };
        match self.state.txn(&txn, Urgency::First).await {
            Ok(Outcome::Done(revision)) => {
                tracing::info!("the machines are one block again");
                self.peers.announce(revision);
                self.take_over(grant, revision).await;
            }
            // If it was carried out after all, nobody owns the block: the lease
            // ends, and whoever leads next takes it.
            Err(StateError::Unknown(_)) => self.lease.set(None),
            other => {
                tracing::info!(?other, "uniting the blocks");
                self.fresh().await;
                for c in self.cores.borrow_mut().values_mut() {
                    c.thaw();
                }
            }
        }
    }

    /// Takes up the blocks that are granted to this controller. True if there
    /// are any new ones.
    pub(super) fn take_up(&self, view: &View) -> bool {
        let of = view.block_count();
        if of == 1 {
            return false;
        }
        let mut cores = self.cores.borrow_mut();
        let mut new = false;
        for (block, held) in &view.blocks {
            let record = &held.value;
            let mine = record.owner == self.cfg.node
                && record.run == self.run
                && record.version <= BlockRecord::VERSION;
            if !mine || block.0 >= of || cores.contains_key(block) {
                continue;
            }
            tracing::info!(%block, term = %record.term, grant = record.number, "owning");
            let shard = Shard { block: *block, of };
            let core = Core::load_block(
                self.cfg.clone(),
                &self.types.borrow(),
                view,
                (shard, (record.number, held.stamp), self.places.clone()),
                None,
                self.now(),
                wall_ms(),
            );
            if cores.is_empty() {
                *self.reach.borrow_mut() = Reach::default();
            }
            cores.insert(*block, core);
            new = true;
        }
        if new {
            self.work.notify_one();
        }
        new
    }

    /// A block that is offered to another is frozen; one whose offer was taken
    /// back goes on.
    pub(super) fn heed_offers(&self, view: &View) {
        if view.block_count() == 1 {
            return;
        }
        let now = self.now();
        for (block, c) in self.cores.borrow_mut().iter_mut() {
            let offered = view.blocks.get(block).and_then(|b| b.value.to.as_ref());
            match offered {
                Some(to) if view.members.contains_key(to) => c.freeze(now),
                _ => c.thaw(),
            }
        }
    }

    /// Hands on what is offered to others and has settled, each with one
    /// conditional write. Called between two transactions: none is under way.
    pub(super) async fn hand_on(&self) {
        if self.view_blocks() == 1 {
            return;
        }
        let now = self.now();
        let due: Vec<(BlockId, Txn)> = {
            let view = self.view.borrow();
            let cores = self.cores.borrow();
            let settled = cores
                .iter()
                .filter(|(_, c)| c.is_frozen() && c.settled(now));
            settled
                .filter_map(|(block, c)| {
                    let held = view.blocks.get(block);
                    let held = held.filter(|b| b.value.number == c.grant)?;
                    let to = held.value.to.clone()?;
                    let record = BlockRecord {
                        version: BlockRecord::VERSION,
                        run: view.members.get(&to)?.value.run,
                        owner: to,
                        term: held.value.term,
                        number: view.newest_grant() + 1,
                        to: None,
                        pin: held.value.pin.clone(),
                    };
                    let txn = Txn {
                        when: vec![When {
                            key: block_key(*block),
                            stamp: held.stamp,
                        }],
                        apply: vec![Change::write(block_key(*block), &record, None)],
                    };
                    Some((*block, txn))
                })
                .collect()
        };
        for (block, txn) in due {
            match self.state.txn(&txn, Urgency::First).await {
                Ok(Outcome::Done(revision)) => {
                    tracing::info!(%block, "handed on");
                    self.peers.announce(revision);
                }
                Ok(Outcome::Failed(_)) => {}
                Err(error) => tracing::info!(%block, %error, "handing on"),
            }
            self.fresh().await;
        }
    }

    // ---- for operators ------------------------------------------------------

    /// Blocks, owners, machines, parts of limits and moves under way.
    pub fn show_blocks(&self) -> BlocksShown {
        let view = self.view.borrow();
        let told = self.needs.borrow();
        let leader = view.leader.value.as_ref().map(|l| l.node.to_string());
        let blocks = view.blocks.iter().filter(|_| view.block_count() > 1);
        let blocks = blocks.map(|(block, held)| {
            let b = &held.value;
            let member = view.members.get(&b.owner);
            let alive = member.is_some_and(|m| m.value.run == b.run);
            let told = told.get(block).filter(|(at, _)| at.elapsed() < KNOWN);
            let told = told.map(|(_, needs)| needs);
            let cpus = |milli: i64| milli as f64 / 1000.0;
            let teams = self.cfg.teams.iter().map(|t| {
                let slice = view.slices.get(block).map(|s| s.value.of(&t.name));
                let need = told.and_then(|n| n.teams.iter().find(|(name, _)| **name == *t.name));
                TeamShown {
                    team: t.name.to_string(),
                    part_cpus: cpus(slice.unwrap_or_default().cpu),
                    used_cpus: need.map(|(_, n)| cpus(n.used.cpu)),
                    waiting_cpus: need.map(|(_, n)| cpus(n.waits.cpu)),
                }
            });
            let why = match (&b.pin, &b.to, alive) {
                (_, Some(to), _) => format!("it moves to {to}"),
                (_, None, false) => "its owner is gone: it is granted next".into(),
                (Some(pin), ..) if *pin == b.owner => "an operator pinned it there".into(),
                (Some(pin), ..) => format!("pinned to {pin}, which does not live"),
                _ => "balanced over those who live".into(),
            };
            BlockShown {
                block: block.0,
                owner: Some(b.owner.to_string()),
                alive,
                grant: b.number,
                to: b.to.as_ref().map(|n| n.to_string()),
                pin: b.pin.as_ref().map(|n| n.to_string()),
                machines: told.map(|n| n.machines),
                why,
                teams: teams.collect(),
            }
        });
        let mut shown = BlocksShown {
            leader: leader.clone(),
            blocks: blocks.collect(),
        };
        if shown.blocks.is_empty() {
            shown.blocks.push(BlockShown {
                owner: leader.clone(),
                alive: leader.is_some(),
                grant: view.grant.value.number,
                why: "all machines are one block, the leader's".into(),
                ..BlockShown::default()
            });
        }
        shown
    }

    /// Pins a block to a controller, or takes its pin off. The answer comes once
    /// it is recorded; the leader does the rest.
    pub async fn pin(&self, asked: &PinAsked) -> Result<(), Refused> {
        asked.check().map_err(|e| Refused::Wrong(e.to_string()))?;
        let to = asked.to.as_deref().map(NodeId::from);
        let all = self.cfg.others.iter().map(|o| &o.node);
        if let Some(to) = &to {
            if !all.chain([&self.cfg.node]).any(|n| n == to) {
                return Err(Refused::Wrong(format!("there is no controller {to}")));
            }
        }
        for _ in 0..4 {
            if !self.fresh().await {
                return Err(Refused::Unavailable);
            }
            let (key, stamp, record) = {
                let view = self.view.borrow();
                let block = BlockId(asked.block);
                let held = view.blocks.get(&block).filter(|_| view.block_count() > 1);
                let Some(held) = held else {
                    let n = view.block_count();
                    return Err(Refused::Wrong(format!(
                        "there is no block {block}: there are {n}, from 0"
                    )));
                };
                let record = BlockRecord {
                    pin: to.clone(),
                    ..held.value.clone()
                };
                (block_key(block), held.stamp, record)
            };
            let change = Change::write(key.clone(), &record, None);
            match self.state.change(key, stamp, change, KNOWN).await {
                Ok(Outcome::Done(revision)) => {
                    self.peers.announce(revision);
                    return Ok(());
                }
                // It moved meanwhile.
                Ok(Outcome::Failed(_)) => {}
                Err(_) => return Err(Refused::Unavailable),
            }
        }
        Err(Refused::Unavailable)
    }

    // ---- what owners tell each other --------------------------------------

    fn others_known(&self) -> Vec<NodeId> {
        let standings = self.standings.borrow();
        let knows = |o: &&crate::config::Other| {
            let known = standings.get(&o.node);
            known.is_some_and(|(_, _, flags)| flags & peer::BLOCKS != 0)
        };
        let others = self.cfg.others.iter().filter(knows);
        others.map(|o| o.node.clone()).collect()
    }

    /// Tells the others what this controller's blocks use and want, leaves tasks
    /// to blocks that have room, and gives away parts of limits.
    pub(super) async fn tell_needs(self: Rc<Self>) {
        let mut gave = Instant::now();
        loop {
            sleep(TELL).await;
            if self.view_blocks() == 1 || self.cores.borrow().is_empty() {
                continue;
            }
            let now = self.now();
            let mine: Vec<Needs> = {
                let cores = self.cores.borrow();
                let needs = cores.iter().map(|(block, c)| {
                    let teams = self.cfg.teams.iter().map(|t| t.name.to_string());
                    Needs {
                        block: *block,
                        machines: c.machines() as u32,
                        spare_cpu: c.spare_cpu(),
                        teams: teams.zip(c.needs()).collect(),
                    }
                });
                needs.collect()
            };
            let others = self.others_known();
            for needs in mine {
                for other in &others {
                    self.peers.share(other, Kind::Needs, needs.encode());
                }
                self.take_needs(needs);
            }
            let mut left = Vec::new();
            for c in self.cores.borrow_mut().values_mut() {
                left.extend(c.leave(&self.view.borrow(), now));
            }
            for some in left {
                match self.owner_of(some.block) {
                    Some(owner) if owner == self.cfg.node => self.take_left(&some),
                    Some(owner) => {
                        if let Some(text) = encode_left(&some) {
                            self.peers.share(&owner, Kind::Left, text);
                        }
                    }
                    None => {}
                }
            }
            if gave.elapsed() >= GIVE_EVERY {
                gave = Instant::now();
                self.give_parts().await;
            }
        }
    }

    fn take_needs(&self, needs: Needs) {
        let now = self.now();
        for (block, c) in self.cores.borrow_mut().iter_mut() {
            if *block != needs.block {
                c.has_room(needs.block, needs.spare_cpu, now);
            }
        }
        let known = (Instant::now(), needs.clone());
        self.needs.borrow_mut().insert(needs.block, known);
    }

    fn take_left(&self, left: &core::LeftTo) {
        let now = self.now();
        if let Some(c) = self.cores.borrow_mut().get_mut(&left.block) {
            c.left_here(&self.view.borrow(), left, now, wall_ms());
        }
        self.work.notify_one();
    }

    /// What another owner told; it may be wrong or late.
    pub fn told_of_shares(&self, kind: Kind, text: &[u8]) {
        match kind {
            Kind::Needs => {
                if let Some(needs) = Needs::parse(text) {
                    self.take_needs(needs);
                }
            }
            Kind::Left => {
                if let Some(left) = parse_left(text) {
                    self.take_left(&left);
                }
            }
            Kind::Rented => {
                let now = self.now();
                let Some(rented) = Rented::parse(text) else {
                    return;
                };
                let sort = (&rented.kind, &rented.zone, rented.spot);
                let zones = rented.machines.iter();
                let zones = zones.map(|m| (m.clone(), rented.zone.clone()));
                self.places.borrow_mut().extend(zones);
                for c in self.cores.borrow_mut().values_mut() {
                    for machine in &rented.machines {
                        c.rented_for(sort, machine, now);
                    }
                }
            }
            _ => {}
        }
    }

    /// Tells the owners of the other blocks of machines that were rented.
    pub(super) fn tell_rented(&self, rental: &crate::cloud::Rental, machines: &[MachineId]) {
        if self.view_blocks() == 1 {
            return;
        }
        let rented = Rented {
            kind: rental.build.clone(),
            zone: rental.rack.clone(),
            spot: rental.loaners,
            machines: machines.to_vec(),
        };
        let Some(text) = rented.encode() else { return };
        self.told_of_shares(Kind::Rented, &text);
        for other in self.others_known() {
            self.peers.share(&other, Kind::Rented, text.clone());
        }
    }

    /// What each block has and wants of each team's limit, as far as known.
    fn all_needs(&self) -> Option<Vec<Vec<Need>>> {
        let view = self.view.borrow();
        let known = self.needs.borrow();
        (0..view.block_count())
            .map(|b| {
                let block = BlockId(b);
                let slices = &view.slices.get(&block)?.value;
                let (_, needs) = known.get(&block).filter(|(at, _)| at.elapsed() < KNOWN)?;
                let team = |t: &crate::config::TeamConfig| {
                    let need = needs.teams.iter().find(|(name, _)| **name == *t.name);
                    Need {
                        slice: slices.of(&t.name),
                        ..need.map(|(_, n)| *n).unwrap_or_default()
                    }
                };
                Some(self.cfg.teams.iter().map(team).collect())
            })
            .collect()
    }

    /// Gives parts of limits that are not used here to a block that lacks them.
    async fn give_parts(&self) {
        let Some(needs) = self.all_needs() else {
            return;
        };
        let blocks: Vec<BlockId> = self.cores.borrow().keys().copied().collect();
        for block in blocks {
            let Some(transfer) = next_transfer(block, &needs) else {
                continue;
            };
            let txn = {
                let view = self.view.borrow();
                let mut cores = self.cores.borrow_mut();
                let Some(core) = cores.get_mut(&block).filter(|c| !c.is_frozen()) else {
                    continue;
                };
                let held = (
                    view.blocks.get(&block),
                    view.slices.get(&block),
                    view.slices.get(&transfer.to),
                );
                let (Some(grant), Some(mine), Some(theirs)) = held else {
                    continue;
                };
                if grant.value.number != core.grant {
                    continue;
                }
                // What was claimed since the needs were told stays covered.
                let used = core.needs();
                let fits = transfer.amounts.iter().zip(&self.cfg.teams).enumerate();
                let fits = fits
                    .map(|(i, (give, t))| (mine.value.of(&t.name) - *give, used[i].used))
                    .all(|(left, used)| used.fits_team(left));
                if !fits {
                    continue;
                }
                // Lowered before the change is sent: while its outcome is not
                // known, it counts as used on both sides.
                core.giving(transfer.amounts.clone(), &view);
                let part = |record: &SliceRecord, sign: i64| {
                    let teams = self.cfg.teams.iter().zip(&transfer.amounts);
                    SliceRecord::new(teams.map(|(t, give)| {
                        (t.name.to_string(), record.of(&t.name) + give.times(sign))
                    }))
                };
                Txn {
                    when: vec![
                        When {
                            key: block_key(block),
                            stamp: grant.stamp,
                        },
                        When {
                            key: slice_key(block),
                            stamp: mine.stamp,
                        },
                        When {
                            key: slice_key(transfer.to),
                            stamp: theirs.stamp,
                        },
                    ],
                    apply: vec![
                        Change::write(slice_key(block), &part(&mine.value, -1), None),
                        Change::write(slice_key(transfer.to), &part(&theirs.value, 1), None),
                    ],
                }
            };
            let patience = Urgency::Within(Duration::from_millis(1500));
            let outcome = loop {
                match self.state.txn(&txn, patience).await {
                    Ok(outcome) => break outcome,
                    // Sent again with the same conditions: whichever try is
                    // carried out, the others fail.
                    Err(error) => {
                        tracing::debug!(%error, "giving part of the limits");
                        sleep(Duration::from_millis(200)).await;
                    }
                }
                if !self.cores.borrow().contains_key(&block) {
                    return;
                }
            };
            let revision = match outcome {
                Outcome::Done(revision) | Outcome::Failed(revision) => revision,
            };
            self.peers.announce(revision);
            while self.view.borrow().ledger < revision {
                if !self.fresh().await {
                    sleep(Duration::from_millis(100)).await;
                }
            }
            let view = self.view.borrow();
            if let Some(core) = self.cores.borrow_mut().get_mut(&block) {
                core.giving(Vec::new(), &view);
            }
        }
    }
}
