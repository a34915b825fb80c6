//! Tests of the sharding decisions over generated losses, moves and late messages, compared
//! with slow and simple models. Checkers must also reject a planner that gives a machine or
//! a limit to two owners.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use proptest::prelude::*;
use sorrelhinge_protocol::types::{Amount, JobId, MachineId, NodeId, Time};
use sorrelhinge_sharding::delegation::{Delegation, Waiting};
use sorrelhinge_sharding::fair::Turns;
use sorrelhinge_sharding::isolation::{
    DismissedWorkers, PeerContact, ISOLATED_AFTER_S, PROBE_AFTER_S,
};
use sorrelhinge_sharding::largest_jobs::{tenth, Largest, WINDOW_JOBS};
use sorrelhinge_sharding::owners::{
    how_many, Member, Owners, RecordedShard, ShardPreference, Step,
};
use sorrelhinge_sharding::reach::{
    Reach, CUT_OFF_AFTER_S, CUT_OFF_MIN_COUNT, FAILED_AFTER_S, FAILED_MIN_MACHINES,
};
use sorrelhinge_sharding::served::{Served, Sort, Waits};
use sorrelhinge_sharding::shard::{of_job, of_machine, ShardId, ShardScope, MAX_SHARDS};
use sorrelhinge_sharding::slices::{divide, next_transfer, LimitTransfer, Need};
use sorrelhinge_sharding::tally::Tally;

fn cpu(cpu: i64) -> Amount {
    Amount {
        cpu,
        gpu: cpu / 8,
        ram: 0,
    }
}

// Tests of `shard`: assignment of machines and jobs to shards.

/// Every name belongs to exactly one shard, and the shards get equal parts. With one more
/// shard, names only move to the new shard. Some assignments are written down, because
/// another version must compute the same ones, or two owners would command one machine.
#[test]
fn names_divide_evenly_and_stay_stable() {
    let machines: Vec<MachineId> = (0..6000)
        .map(|n| MachineId::from(&*format!("vm-{n:06}")))
        .collect();
    for of in 1..=MAX_SHARDS {
        let mut count = vec![0; of as usize];
        for m in &machines {
            let shard = of_machine(m, of);
            count[shard.0 as usize] += 1;
            let covering = (0..of).filter(|b| {
                ShardScope {
                    shard: ShardId(*b),
                    of,
                }
                .covers(m)
            });
            assert_eq!(covering.count(), 1);
            if of > 1 {
                let before = of_machine(m, of - 1);
                assert!(
                    shard == before || shard.0 == of - 1,
                    "moved to an old shard"
                );
            }
        }
        let even = 6000 / of as i32;
        assert!(
            count.iter().all(|c| (c - even).abs() < even / 10),
            "{count:?}"
        );
    }
    let assigned: Vec<u32> = machines[..12].iter().map(|m| of_machine(m, 3).0).collect();
    assert_eq!(
        assigned, EXPECTED_SHARDS,
        "every version must assign the same shards"
    );
    assert_eq!(
        of_job(&JobId::from("run-000412"), 3),
        ShardId(EXPECTED_JOB_SHARD)
    );
}

const EXPECTED_SHARDS: [u32; 12] = [0, 1, 0, 1, 0, 0, 0, 0, 2, 1, 1, 0];
const EXPECTED_JOB_SHARD: u32 = 1;

// Tests of `owners`: grants and moves of shards.

/// Model of the state service, in which transactions may be late.
#[derive(Clone, Debug, Default)]
struct World {
    shards: BTreeMap<ShardId, (RecordedShard, u64)>,
    alive: BTreeMap<NodeId, Member>,
    /// Shards that each process believes to own, with the record revision of each grant.
    believes: BTreeMap<(NodeId, u64), BTreeMap<ShardId, u64>>,
    late: Vec<(ShardId, u64, RecordedShard)>,
    mod_revision: u64,
}

/// A shard that is offered, with the revision of its record.
struct Offer {
    shard: ShardId,
    mod_revision: u64,
    to: NodeId,
}

/// Returns a shard's record that has this owner, no offer and no pin.
fn owned_by(owner: &NodeId, run: u64) -> RecordedShard {
    RecordedShard {
        owner: owner.clone(),
        run,
        to: None,
        pin: None,
    }
}

impl World {
    /// Returns a model in which the first of `controllers` controllers owns all shards.
    fn new(controllers: u8, shards: u32) -> Self {
        let mut world = Self::default();
        for n in 0..controllers {
            world.alive.insert(node(n), Member { run: 1 });
        }
        for shard in 0..shards {
            let first = owned_by(&node(0), 1);
            world.shards.insert(ShardId(shard), (first, 0));
        }
        world
    }
    fn held(&self) -> BTreeMap<ShardId, RecordedShard> {
        self.shards
            .iter()
            .map(|(b, (h, _))| (*b, h.clone()))
            .collect()
    }
    /// Writes a shard's record, but only if the record still has the given revision.
    fn write(&mut self, shard: ShardId, mod_revision: u64, held: RecordedShard) -> bool {
        let fits = self
            .shards
            .get(&shard)
            .is_some_and(|(_, s)| *s == mod_revision);
        if fits {
            self.mod_revision += 1;
            self.shards.insert(shard, (held, self.mod_revision));
        }
        fits
    }
    fn carry_out(&mut self, step: &Step, late: bool) {
        let (shard, held) = match step {
            Step::Grant(shard, to) => (*shard, owned_by(to, self.alive[to].run)),
            Step::Offer(shard, to) => (*shard, self.offered(*shard, Some(to.clone()))),
            Step::TakeBack(shard) => (*shard, self.offered(*shard, None)),
        };
        let mod_revision = self.shards[&shard].1;
        if late {
            self.late.push((shard, mod_revision, held));
        } else {
            self.write(shard, mod_revision, held);
        }
    }
    /// Returns a shard's record with another offer, or with none.
    fn offered(&self, shard: ShardId, to: Option<NodeId>) -> RecordedShard {
        RecordedShard {
            to,
            ..self.shards[&shard].0.clone()
        }
    }
    /// Returns all offers that are recorded now.
    fn offers(&self) -> Vec<Offer> {
        let offers = self
            .shards
            .iter()
            .filter_map(|(shard, (held, mod_revision))| {
                Some(Offer {
                    shard: *shard,
                    mod_revision: *mod_revision,
                    to: held.to.clone()?,
                })
            });
        offers.collect()
    }
    /// Writes the new owner of an offered shard, if the new owner is alive.
    fn hand_over(&mut self, offer: Offer) {
        if let Some(run) = self.alive.get(&offer.to).map(|m| m.run) {
            self.write(offer.shard, offer.mod_revision, owned_by(&offer.to, run));
        }
    }
    /// Carries out the leader's next step and checks that the step breaks no rule.
    fn lead(
        &mut self,
        leader: &mut Owners,
        preference: &ShardPreference,
        late: bool,
        now: f64,
    ) -> Result<(), TestCaseError> {
        let Some(step) = leader.next(&self.held(), &self.alive, preference, Time(now)) else {
            return Ok(());
        };
        if let Step::Grant(shard, _) = &step {
            let held = &self.shards[shard].0;
            let owner_is_alive = self
                .alive
                .get(&held.owner)
                .is_some_and(|m| m.run == held.run);
            prop_assert!(!owner_is_alive, "granted a shard whose owner is alive");
        }
        if let Step::Grant(_, to) | Step::Offer(_, to) = &step {
            prop_assert!(self.alive.contains_key(to));
        }
        self.carry_out(&step, late);
        Ok(())
    }
    /// Runs without further failures: one leader decides, and owners hand over offered
    /// shards at once.
    fn settle(&mut self, preference: &ShardPreference, mut now: f64) {
        self.late.clear();
        let mut leader = Owners::default();
        for _ in 0..200 {
            now += 0.5;
            if let Some(step) = leader.next(&self.held(), &self.alive, preference, Time(now)) {
                self.carry_out(&step, false);
            }
            for offer in self.offers() {
                self.hand_over(offer);
            }
        }
    }
    /// Returns the number of shards that each live controller owns, and checks that live
    /// processes own all shards.
    fn counts(&self) -> Result<BTreeMap<NodeId, usize>, TestCaseError> {
        let mut counts: BTreeMap<NodeId, usize> =
            self.alive.keys().map(|n| (n.clone(), 0)).collect();
        for (held, _) in self.shards.values() {
            prop_assert_eq!(self.alive.get(&held.owner).map(|m| m.run), Some(held.run));
            *counts.get_mut(&held.owner).expect("the owner is alive") += 1;
        }
        Ok(counts)
    }
    /// Lets all owners read the records. An owner that a record no longer names stops.
    fn read(&mut self) {
        self.believes.clear();
        for (shard, (held, mod_revision)) in &self.shards {
            let key = (held.owner.clone(), held.run);
            self.believes
                .entry(key)
                .or_default()
                .insert(*shard, *mod_revision);
        }
    }
    /// Checks that no shard has two owners. A shard that has a live owner is owned by one
    /// process.
    fn check(&self) -> Result<(), String> {
        let mut seen = BTreeSet::new();
        for shards in self.believes.values() {
            for shard in shards.keys() {
                if !seen.insert(*shard) {
                    return Err(format!("shard {shard} has two owners"));
                }
            }
        }
        Ok(())
    }
}

fn node(n: u8) -> NodeId {
    NodeId::from(&*format!("c-{n}"))
}

/// Model of the slices of one limit, and of their owners' use of them.
struct Shares {
    slices: Vec<Amount>,
    /// Amount up to which each owner places tasks. An owner lowers it before it sends a
    /// transfer.
    bound: Vec<Amount>,
    used: Vec<i64>,
    wants: Vec<i64>,
    in_flight: Option<Transfer>,
}

/// A transfer in flight, with the slices that its transaction requires as a condition.
struct Transfer {
    from: usize,
    given: LimitTransfer,
    seen: Vec<Amount>,
}

impl Shares {
    fn new(limits: [Amount; 1], shards: usize) -> Self {
        let none = vec![vec![Amount::default()]; shards];
        let parts = divide(&limits, &none).expect("nothing is used");
        let slices: Vec<Amount> = parts.iter().map(|p| p[0]).collect();
        Self {
            bound: slices.clone(),
            slices,
            used: vec![0; shards],
            wants: vec![0; shards],
            in_flight: None,
        }
    }
    /// Claims as much of the wanted amount as the shard's bound allows.
    fn claim(&mut self, shard: usize, wanted: i64) {
        self.wants[shard] = wanted;
        let free_capacity = self.bound[shard].cpu - self.used[shard];
        self.used[shard] += wanted.min(free_capacity).max(0);
    }
    /// Sends a transfer if one is due, and checks that it gives nothing that is used.
    fn send(&mut self, shard: usize) -> Result<(), TestCaseError> {
        let needs: Vec<Vec<Need>> = (0..self.slices.len())
            .map(|i| {
                vec![Need {
                    slice: self.slices[i],
                    used: cpu(self.used[i]),
                    waits: cpu(self.wants[i]),
                }]
            })
            .collect();
        if let Some(given) = next_transfer(ShardId(shard as u32), &needs) {
            let left = self.slices[shard] - given.amounts[0];
            prop_assert!(
                cpu(self.used[shard]).fits_team(left),
                "transferred a part that is in use"
            );
            prop_assert!(given.to.0 as usize != shard);
            self.bound[shard] = left;
            self.in_flight = Some(Transfer {
                from: shard,
                given,
                seen: self.slices.clone(),
            });
        }
        Ok(())
    }
    /// Loses, carries out or delays the transfer in flight.
    fn arrive(&mut self, outcome: u8) {
        let Some(transfer) = self.in_flight.take() else {
            return;
        };
        let (from, to) = (transfer.from, transfer.given.to.0 as usize);
        let as_seen = |shard: usize| transfer.seen[shard] == self.slices[shard];
        let fits = as_seen(from) && as_seen(to);
        match outcome {
            // The transfer is lost. The giving shard learns this and uses its whole slice
            // again.
            0 => self.bound[from] = self.slices[from],
            // The transfer is carried out, but the giving shard does not know this yet.
            1 if fits => {
                let amount = transfer.given.amounts[0];
                self.slices[from] -= amount;
                self.slices[to] += amount;
                self.bound[to] += amount;
            }
            // The transfer is late and stays in flight.
            _ => self.in_flight = Some(transfer),
        }
    }
}

proptest! {
    /// Each waiting key is served before any other key is served twice more.
    #[test]
    fn turns_rotate(waiting in prop::collection::vec(prop::collection::btree_set(0..6_u8, 0..6), 1..80)) {
        let mut turns = Turns::default();
        let mut since: BTreeMap<u8, Vec<u8>> = BTreeMap::new();
        for now in waiting {
            // Only a key that has waited all the time is entitled to a turn.
            since.retain(|k, _| now.contains(k));
            for k in &now {
                since.entry(*k).or_default();
            }
            let turn = turns.next(now.iter());
            prop_assert_eq!(turn.is_some(), !now.is_empty());
            if let Some(turn) = turn {
                prop_assert!(now.contains(&turn));
                since.remove(&turn);
                for (k, others) in &mut since {
                    others.push(turn);
                    let twice = others.iter().filter(|o| **o == turn).count();
                    prop_assert!(twice <= 1, "{} was skipped while {} was served twice: {:?}", k, turn, others);
                }
            }
        }
    }

    /// Controllers fail and come back, and steps are late or carried out by two leaders. No
    /// shard ever has two owners. Once failures end, the live controllers own all shards,
    /// as evenly as possible.
    #[test]
    fn shards_have_one_owner_and_settle(
        shards in 1..=MAX_SHARDS,
        events in prop::collection::vec((0..5_u8, 0..5_u8, any::<bool>()), 0..120),
        forced in any::<bool>(),
        gather in any::<bool>(),
    ) {
        let mut world = World::new(5, shards);
        let mut leaders = [Owners::default(), Owners::default()];
        let mut runs = 1;
        let mut now = 0.0;
        for (what, who, late) in events {
            now += 0.4;
            match what {
                0 if world.alive.len() > 1 => { world.alive.remove(&node(who)); }
                1 => {
                    runs += 1;
                    world.alive.insert(node(who), Member { run: runs });
                }
                2 if !world.late.is_empty() => {
                    let (shard, mod_revision, held) = world.late.remove(0);
                    world.write(shard, mod_revision, held);
                }
                3 => world.offers().into_iter().take(1).for_each(|offer| world.hand_over(offer)),
                _ => {
                    let leader = &mut leaders[usize::from(who % 2)];
                    let preference = ShardPreference { gather: None, move_every_s: forced.then_some(2.0) };
                    world.lead(leader, &preference, late, now)?;
                }
            }
            world.read();
            prop_assert_eq!(world.check(), Ok(()));
        }
        // Finally, all shards move to one controller or stay balanced.
        let one = gather.then(|| world.alive.keys().next().cloned()).flatten();
        world.settle(&ShardPreference { gather: one.clone(), move_every_s: None }, now);
        let count = world.counts()?;
        if let Some(one) = one {
            prop_assert_eq!(count[&one], shards as usize, "{:?}", count);
            return Ok(());
        }
        let (max, least) = (count.values().max(), count.values().min());
        prop_assert!(max.unwrap_or(&0) - least.unwrap_or(&0) <= 1, "{:?}", count);
    }

    // Tests of `slices`: division of the teams' limits among the shards.

    /// Slices move between shards while claims come and go. Transfers are late, lost, or
    /// carried out without the giving shard's knowledge. The slices always add up to the
    /// limit, and the use never exceeds it.
    #[test]
    fn use_never_exceeds_the_limit(
        shards in 2..=5_usize,
        limit in 10..2000_i64,
        events in prop::collection::vec((0..4_u8, 0..5_usize, 1..400_i64, 0..3_u8), 1..200),
    ) {
        let limits = [cpu(limit * 8)];
        let mut shares = Shares::new(limits, shards);
        for (what, shard, n, outcome) in events {
            let shard = shard % shards;
            match what {
                0 => shares.claim(shard, n),
                1 => shares.used[shard] -= n.min(shares.used[shard]),
                2 if shares.in_flight.is_none() => shares.send(shard)?,
                _ => shares.arrive(outcome),
            }
            let sum = shares.slices.iter().fold(Amount::default(), |s, a| s + *a);
            prop_assert_eq!(sum, Amount { ram: 0, ..limits[0] });
            let used = shares.used.iter().sum::<i64>();
            prop_assert!(used <= limits[0].cpu, "use exceeds the limit");
        }
    }

    /// Slices follow demand. If only one shard needs a limit, this shard gets all of it,
    /// except parts that are too small to be worth a change.
    #[test]
    fn slices_follow_demand(shards in 2..=5_usize, demanding in 0..5_usize, limit in 100..5000_i64) {
        let demanding = demanding % shards;
        let limits = [cpu(limit * 40)];
        let none = vec![vec![Amount::default()]; shards];
        let mut slices: Vec<Amount> = divide(&limits, &none).expect("nothing is used")
            .into_iter().map(|p| p[0]).collect();
        for _ in 0..12 {
            for b in 0..shards {
                let needs: Vec<Vec<Need>> = (0..shards).map(|i| vec![Need {
                    slice: slices[i],
                    used: Amount::default(),
                    waits: if i == demanding { limits[0] } else { Amount::default() },
                }]).collect();
                if let Some(given) = next_transfer(ShardId(b as u32), &needs) {
                    slices[b] -= given.amounts[0];
                    slices[given.to.0 as usize] += given.amounts[0];
                }
            }
        }
        let others = (shards - 1) as i64;
        let least = limits[0].cpu - others * (limits[0].cpu / 40 + 1);
        prop_assert!(slices[demanding].cpu >= least, "{:?}", slices);
    }

    // Tests of `served`: counts of jobs and detection of starvation.

    /// A class and team starve exactly if their oldest job has waited for longer than twice
    /// the usual wait. The expected value comes from a plain list of all events.
    #[test]
    fn starving_classes_are_detected(
        events in prop::collection::vec((0..3_u8, 0..2_u8, 0.0..120.0_f64), 0..80),
        oldest in 0.0..400.0_f64,
    ) {
        let sort = |n: u8| -> Sort { (Arc::from(format!("class-{n}")), Arc::from("crew")) };
        let mut served = Served::default();
        let mut plain: BTreeMap<Sort, (u64, Vec<f64>)> = BTreeMap::new();
        for (what, n, wait) in events {
            let held = plain.entry(sort(n)).or_default();
            match what {
                0 => { served.accepted(&sort(n)); held.0 += 1; }
                1 => { served.started(&sort(n), Some(wait)); held.1.push(wait); }
                _ => served.done(&sort(n)),
            }
        }
        let waits: BTreeMap<Sort, Waits> =
            plain.keys().map(|s| (s.clone(), Waits { jobs: 1, oldest_s: oldest })).collect();
        for line in served.lines(&waits) {
            let (accepted, started) = &plain[&line.sort];
            let usual = started.iter().copied().reduce(|mean, w| mean + 0.1 * (w - mean));
            prop_assert_eq!((line.accepted, line.started), (*accepted, started.len() as u64));
            prop_assert_eq!(line.starves, oldest > (2.0 * usual.unwrap_or(0.0)).max(30.0));
        }
    }

    // Tests of `delegation`: tasks that one shard delegates to another.

    /// A shard never gets more delegated tasks than its free capacity holds, nor more tasks
    /// of a job than are pending. Reports of free capacity that are too old are not used.
    #[test]
    fn tasks_are_delegated_only_to_free_capacity(
        free_capacities in prop::collection::vec((1..5_u32, 0..20_000_i64, 0.0..5.0_f64), 0..5),
        jobs in prop::collection::vec((1..40_u32, 1..8_i64, 0.0..3.0_f64), 0..10),
    ) {
        let now = 5.0;
        let mut delegation = Delegation::default();
        let mut free_capacity: BTreeMap<u32, i64> = BTreeMap::new();
        let mut in_order = free_capacities.clone();
        in_order.sort_by(|a, b| a.2.total_cmp(&b.2));
        for (shard, free, at) in in_order {
            delegation.has_capacity(ShardId(shard), free, Time(at));
            free_capacity.insert(shard, if now - at <= 2.5 { free } else { 0 });
        }
        let waiting: Vec<Waiting> = jobs.iter().enumerate().map(|(i, (tasks, cpus, age))| Waiting {
            job: JobId::from(&*format!("run-{i:06}")),
            since: Time(now - age),
            tasks: *tasks,
            cpu: cpus * 1000,
        }).collect();
        let mut left: BTreeMap<JobId, u32> = BTreeMap::new();
        for delegated in delegation.delegate(&waiting, Time(now)) {
            let job = waiting.iter().find(|w| w.job == delegated.job).expect("the delegated job is pending");
            prop_assert!(now - job.since.0 >= 0.6);
            *free_capacity.entry(delegated.to.0).or_insert(0) -= job.cpu * i64::from(delegated.tasks);
            *left.entry(delegated.job).or_insert(0) += delegated.tasks;
        }
        prop_assert!(free_capacity.values().all(|r| *r >= 0), "{:?}", free_capacity);
        for w in &waiting {
            prop_assert!(left.get(&w.job).copied().unwrap_or(0) <= w.tasks);
            // A job that has waited long enough gets all the free capacity that its tasks
            // fit into.
            let all = left.get(&w.job).copied().unwrap_or(0) == w.tasks;
            let none_fits = free_capacity.values().all(|r| *r < w.cpu);
            prop_assert!(all || none_fits || now - w.since.0 < 0.6);
        }
    }
}

/// The checkers detect their faults: a planner that grants a shard while its old owner
/// still believes to own it, and a division of a limit that is already exceeded.
#[test]
fn checkers_reject_double_grants() {
    let mut world = World::default();
    world.alive.insert(node(0), Member { run: 1 });
    world
        .believes
        .entry((node(0), 1))
        .or_default()
        .insert(ShardId(0), 1);
    world
        .believes
        .entry((node(1), 1))
        .or_default()
        .insert(ShardId(0), 2);
    assert!(world.check().is_err());
    assert_eq!(divide(&[cpu(800)], &[vec![cpu(500)], vec![cpu(400)]]), None);
}

/// A late write never overwrites a newer one.
#[test]
fn a_late_step_of_a_deposed_leader_changes_nothing() {
    let mut world = World::default();
    for n in 0..3 {
        world.alive.insert(node(n), Member { run: 1 });
    }
    let held = RecordedShard {
        owner: node(0),
        run: 1,
        to: None,
        pin: None,
    };
    world.shards.insert(ShardId(0), (held, 0));
    world.carry_out(&Step::Offer(ShardId(0), node(1)), true);
    world.alive.remove(&node(0));
    let step = Owners::default().next(
        &world.held(),
        &world.alive,
        &ShardPreference::default(),
        Time(9.0),
    );
    let Some(step @ Step::Grant(..)) = step else {
        panic!("{step:?}");
    };
    world.carry_out(&step, false);
    let granted = world.shards[&ShardId(0)].clone();
    let (shard, mod_revision, late) = world.late.remove(0);
    assert!(!world.write(shard, mod_revision, late));
    assert_eq!(world.shards[&ShardId(0)], granted);
}

#[test]
fn there_are_no_more_shards_than_controllers() {
    assert_eq!(how_many(1, 5), 1);
    assert_eq!(how_many(3, 5), 3);
    assert_eq!(how_many(5, 3), 3);
    assert_eq!(how_many(9, 9), MAX_SHARDS);
    assert_eq!(how_many(0, 0), 1);
}

// Tests of `reach`: detection of an owner that is cut off from the workers.

#[derive(Clone, Copy, Debug)]
enum Evidence {
    Direct,
    Passed,
    Failed(u8),
    Pause(u8),
}

fn evidence() -> impl Strategy<Value = Evidence> {
    prop_oneof![
        1 => Just(Evidence::Direct),
        20 => Just(Evidence::Passed),
        30 => (0_u8..40).prop_map(Evidence::Failed),
        8 => (0_u8..30).prop_map(Evidence::Pause),
    ]
}

proptest! {
    /// The expected value comes from the whole history since the last direct contact with a
    /// worker.
    #[test]
    fn cut_off_depends_on_evidence_since_last_direct_contact(
        history in proptest::collection::vec(evidence(), 0..150)
    ) {
        let mut reach = Reach::default();
        let mut now = 0.0;
        let mut log: Vec<(f64, Evidence)> = Vec::new();
        for what in history {
            match what {
                Evidence::Direct => reach.direct(),
                Evidence::Passed => reach.passed(Time(now)),
                Evidence::Failed(n) => reach.failed(&MachineId::from(&*format!("vm-{n}")), Time(now)),
                Evidence::Pause(tenths) => now += f64::from(tenths) / 10.0,
            }
            log.push((now, what));
            let from = log.iter().rposition(|(_, w)| matches!(w, Evidence::Direct)).map_or(0, |i| i + 1);
            let since = &log[from..];
            let of = |f: fn(&Evidence) -> bool| since.iter().filter(move |(_, w)| f(w));
            let passed = of(|w| matches!(w, Evidence::Passed));
            let failed = of(|w| matches!(w, Evidence::Failed(_)));
            let machines: BTreeSet<String> = failed.clone().map(|(_, w)| format!("{w:?}")).collect();
            let lasts = |first: Option<&(f64, Evidence)>, s| first.is_some_and(|(at, _)| now - at >= s);
            let others_reach = passed.clone().count() >= CUT_OFF_MIN_COUNT
                && lasts(passed.clone().next(), CUT_OFF_AFTER_S);
            let expected = others_reach && machines.len() >= CUT_OFF_MIN_COUNT
                || machines.len() >= FAILED_MIN_MACHINES && lasts(failed.clone().next(), FAILED_AFTER_S);
            prop_assert_eq!(reach.cut_off(Time(now)), expected);
        }
    }
}

/// A pause of this process makes all messages late and proves nothing. Only evidence that
/// arrives after the pause counts.
#[test]
fn pause_of_own_process_is_no_cut() {
    let mut reach = Reach::default();
    reach.direct();
    // This process was paused for a minute, and all operations in flight failed meanwhile.
    for n in 0..FAILED_MIN_MACHINES {
        reach.failed(&MachineId::from(&*format!("vm-{n}")), Time(60.0));
    }
    for _ in 0..CUT_OFF_MIN_COUNT {
        reach.passed(Time(60.0));
    }
    assert!(!reach.cut_off(Time(60.0)));
    assert!(!reach.cut_off(Time(61.0)));
    reach.direct();
    assert!(!reach.cut_off(Time(90.0)));
}

// Tests of `isolation`: detection of an isolated controller.

/// A controller is isolated if it receives nothing from the other controllers and the state
/// service. A controller that receives something from one of them is not isolated, nor is
/// the only controller. A controller asks the state service before it counts as isolated.
#[test]
fn controller_is_isolated_if_peers_and_state_service_are_silent() {
    // Columns: whether other controllers exist, seconds without contact to each side,
    // whether the controller is isolated, and whether it asks the state service.
    for (others, silent_s, unserved_s, isolated, asks) in [
        (true, ISOLATED_AFTER_S, ISOLATED_AFTER_S, true, true),
        (true, PROBE_AFTER_S, 4.0, false, true),
        (true, 0.3, 60.0, false, false),
        (true, 60.0, 0.3, false, true),
        (false, 60.0, 60.0, false, false),
    ] {
        let peer_contact = PeerContact {
            others,
            peers_silent_s: silent_s,
            unserved_s,
        };
        assert_eq!(peer_contact.is_isolated(), isolated, "{peer_contact:?}");
        assert_eq!(peer_contact.should_probe_state(), asks, "{peer_contact:?}");
    }
}

proptest! {
    /// A worker is refused once per lease time, and answered whenever it comes back before
    /// that.
    #[test]
    fn worker_is_refused_once_per_lease(
        comes in proptest::collection::vec((0_u8..3, 0_u8..40), 1..120)
    ) {
        let mut dismissed_workers = DismissedWorkers::default();
        let mut refused_at: BTreeMap<u8, f64> = BTreeMap::new();
        let mut now = 0.0;
        for (worker, tenths) in comes {
            now += f64::from(tenths) / 10.0;
            let refuses = dismissed_workers.refuses(&MachineId::from(&*format!("vm-{worker}")), 20.0, Time(now));
            let due = refused_at.get(&worker).is_none_or(|at| now - at >= 20.0);
            prop_assert_eq!(refuses, due);
            if refuses {
                refused_at.insert(worker, now);
            }
        }
    }
}

// Tests of `tally`: counts over a run, read from the logs.

#[test]
fn owners_counts_are_added_up_across_takeovers() {
    let line = |accepted, started, done, waiting| {
        format!(
            "INFO served shard=0 class=bake team=red accepted={accepted} started={started} \
             done={done} waiting={waiting} oldest_s=1.0 starves=false"
        )
    };
    let mut tally = Tally::default();
    let red = ("bake".to_owned(), "red".to_owned());
    tally.line("a", "INFO leading term=1 grant=1");
    tally.line("a", &line(10, 4, 2, 6));
    tally.line("a", &line(20, 12, 8, 8));
    // The next owner finds twelve jobs that have not ended. Its log lines carry its name.
    tally.line("all", "   9.1 c-1  INFO leading term=2 grant=2");
    tally.line("all", &format!("  10.1 c-1  {}", line(12, 4, 0, 8)));
    tally.line("all", &format!("  40.1 c-1  {}", line(14, 9, 7, 5)));
    let part = tally.parts()[&red];
    assert_eq!((part.done, part.open, part.waiting), (15, 2, 5));
    // The controller restarts and becomes the next owner too, so it counts anew.
    tally.line("all", "  50.0 c-1  INFO serving node=c-1 zone=z bind=x");
    tally.line("all", "  51.0 c-1  INFO leading term=3 grant=3");
    tally.line("all", &format!("  60.0 c-1  {}", line(7, 1, 1, 6)));
    let part = tally.parts()[&red];
    assert_eq!((part.done, part.open, part.waiting), (16, 0, 6));
    assert!((part.served() - 16.0 / 22.0).abs() < 1e-9);
    tally.line("all", "  61.0 c-1  INFO done job=run-1");
    assert_eq!(
        tally.parts()[&red],
        part,
        "a done line must not change the counts"
    );
}

/// Returns a log line about one of the largest jobs.
fn large(job: u32, cpus: u32, state: &str) -> String {
    format!("INFO largest shard=0 class=bake team=red job=run-{job} cpus={cpus}.0 {state}")
}

#[test]
fn largest_jobs_are_counted_across_takeovers() {
    let class = "INFO served shard=0 class=bake team=red accepted=30 started=20 done=0 \
        waiting=10 oldest_s=1.0 starves=false";
    let mut tally = Tally::default();
    tally.line("a", "INFO leading term=1 grant=1");
    // Of thirty jobs the three largest count. The first job does not count, although it was
    // one of the largest for a while.
    for (job, cpus) in [(1, 10), (2, 100), (3, 90), (4, 80), (5, 70)] {
        tally.line("a", &large(job, cpus, "state=came"));
    }
    tally.line("a", &large(2, 100, "state=begun began_s=12.0"));
    tally.line("a", class);
    let part = tally.largest()["bake"];
    assert_eq!((part.jobs, part.begun, part.late), (3, 1, 0));
    assert!(part.served() < 0.5 && part.longest_s == 12.0);
    // The next owner logs one of the largest jobs, and only finishes another one.
    tally.line("b", "INFO leading term=2 grant=2");
    tally.line("b", &large(3, 90, "state=came"));
    tally.line("b", class);
    tally.line("b", "INFO done job=run-4");
    tally.line("b", &large(5, 70, "state=cancelled"));
    let part = tally.largest()["bake"];
    assert_eq!((part.jobs, part.begun, part.unknown), (3, 2, 1));
    tally.line("b", &large(3, 90, "state=late waiting_s=241.0"));
    tally.line("b", &large(3, 90, "state=begun began_s=250.0"));
    let part = tally.largest()["bake"];
    assert_eq!((part.begun, part.late, part.longest_s), (3, 1, 250.0));
}

proptest! {
    /// The expected value comes from all sizes so far. A tenth of the jobs is selected
    /// whatever their sizes, and a job that is larger than all others is always selected.
    #[test]
    fn largest_jobs_are_the_top_tenth(
        sizes in prop::collection::vec(1_i64..8, 1..600)
    ) {
        let class: Arc<str> = "bake".into();
        let mut largest = Largest::default();
        let mut all: Vec<(i64, bool)> = Vec::new();
        for (n, cpu) in sizes.into_iter().enumerate() {
            let job = JobId::from(&*format!("run-{n}"));
            let selected = largest.came(&job, &class, cpu);
            prop_assert_eq!(selected, largest.is(&job));
            let lately = &all[all.len().saturating_sub(WINDOW_JOBS - 1)..];
            // Number of recent jobs that are larger, or equally large and already selected.
            let before = |o: &&(i64, bool)| o.0 > cpu || o.0 == cpu && o.1;
            let place = lately.iter().filter(before).count();
            prop_assert_eq!(selected, place < tenth(lately.len() + 1));
            if lately.iter().all(|(size, _)| *size < cpu) {
                prop_assert!(selected, "a job larger than all recent ones must be selected");
            }
            all.push((cpu, selected));
            // Each job is reported as late once and as ended once.
            prop_assert_eq!((largest.late(&job), largest.late(&job)), (selected, false));
            prop_assert_eq!((largest.over(&job), largest.over(&job)), (selected, false));
        }
    }
}
