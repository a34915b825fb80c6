//! Compares the real placement with a slow plain model, which keeps domains as paths of
//! names and counts everything anew for every question. Trees, jobs and losses of machines
//! are generated.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sorrelhinge_protocol::placement::{Device, Fewest, PlacementRules, Spread, Together};
use sorrelhinge_protocol::types::{JobSpec, MachineId};
use sorrelhinge_protocol::users::read_job;
use sorrelhinge_topology::devices::{choose, AllocatedDevices, DeviceInventory, Unit};
use sorrelhinge_topology::gang::{self, ChosenSlot, Rules, Slot};
use sorrelhinge_topology::policy::{
    ExclusionRule, InfeasiblePolicy, MachineLocation, Policy, Reach, Tally, UnjudgedPolicy,
};
use sorrelhinge_topology::tree::{Domain, Tree};

const LEVELS: [&str; 4] = ["zone", "rack", "switch", "machine"];

#[derive(Clone, Debug)]
struct ModelMachine {
    name: String,
    /// Domain names from the zone on. The path is shorter if not all levels are known.
    path: Vec<String>,
    units: Vec<(Unit, u32, bool)>,
}

#[derive(Clone, Debug)]
struct Case {
    machines: Vec<ModelMachine>,
    rules: PlacementRules,
    tasks: u32,
    /// Generated steps: place a task on the n-th allowed machine, lose the n-th machine, or
    /// give the n-th machine the place of the m-th.
    steps: Vec<(u8, usize, usize)>,
}

fn level() -> impl Strategy<Value = String> {
    prop::sample::select(LEVELS.to_vec()).prop_map(String::from)
}

fn rules() -> impl Strategy<Value = PlacementRules> {
    let spread = (
        level(),
        prop::option::of(1..4_u32),
        prop::option::of(0.1..1.0_f64),
        any::<bool>(),
    )
        .prop_map(|(level, max, share, must)| Spread {
            level,
            most: max,
            share,
            must,
        });
    let together = (level(), any::<bool>()).prop_map(|(level, must)| Together { level, must });
    let fewest = (level(), 0..4_u32, any::<bool>()).prop_map(|(level, max, must)| Fewest {
        level,
        max,
        must,
    });
    let device = (1..3_u32, any::<bool>()).prop_map(|(count, must)| Device {
        kind: "enc".into(),
        count,
        must,
    });
    (
        prop::collection::vec(spread, 0..3),
        prop::option::weighted(0.2, together),
        prop::option::weighted(0.3, fewest),
        prop::option::weighted(0.4, device),
    )
        .prop_map(|(spread, together, fewest, device)| PlacementRules {
            spread,
            together,
            fewest,
            devices: device.into_iter().collect(),
            lost: false,
        })
}

fn machine(n: usize) -> impl Strategy<Value = ModelMachine> {
    let unit = (0..3_u8, 1..3_u32, prop::bool::weighted(0.2));
    (
        (0..3_u8, 0..3_u8, 0..3_u8, 0..=10_u8),
        prop::collection::vec(unit, 0..3),
    )
        .prop_map(move |((z, r, s, known), units)| {
            let mut path = vec![format!("z{z}"), format!("r{r}"), format!("s{s}")];
            // In some cases only the zone, only zone and rack, or nothing is known.
            path.truncate(match known {
                0 => 0,
                1 => 1,
                2 => 2,
                _ => 3,
            });
            let units: BTreeMap<Unit, (u32, bool)> = units
                .into_iter()
                .map(|(u, share, broken)| (Unit::new("enc", &u.to_string()), (share, broken)))
                .collect();
            ModelMachine {
                name: format!("vm-{n:03}"),
                path,
                units: units.into_iter().map(|(u, (s, b))| (u, s, b)).collect(),
            }
        })
}

fn case() -> impl Strategy<Value = Case> {
    let machines = (2..24_usize).prop_flat_map(|n| (0..n).map(machine).collect::<Vec<_>>());
    let steps = prop::collection::vec((0..10_u8, 0..1000_usize, 0..1000_usize), 1..40);
    (machines, rules(), 1..12_u32, steps).prop_map(|(machines, rules, tasks, steps)| Case {
        machines,
        rules,
        tasks,
        steps,
    })
}

/// Plain model of a job's placement, which is given the machines of its tasks.
struct PlainModel<'a> {
    rules: &'a PlacementRules,
    tasks: u32,
    /// Number of domains at each level of the tree.
    domains: [usize; 4],
}

impl PlainModel<'_> {
    fn label(at: &ModelMachine, level: &str) -> Option<String> {
        match LEVELS.iter().position(|l| *l == level) {
            Some(3) => Some(at.name.clone()),
            Some(depth) => at.path.get(..=depth).map(|names| names.join("/")),
            None => None,
        }
    }

    fn max(&self, rule: &Spread) -> u32 {
        let depth = LEVELS.iter().position(|l| *l == rule.level);
        if rule.most.is_none() && rule.share.is_none() {
            let domains = match depth {
                Some(3) => self.tasks,
                Some(depth) => self.domains[depth] as u32,
                None => 0,
            };
            let even = self.tasks.div_ceil(domains.max(1));
            return even.min(self.tasks.saturating_sub(1)).max(1);
        }
        let share = rule
            .share
            .map(|s| ((s * f64::from(self.tasks)).ceil() as u32).max(1));
        rule.most.unwrap_or(u32::MAX).min(share.unwrap_or(u32::MAX))
    }

    /// Returns whether one more task may go to machine `at` while `there` lists the machines of
    /// the other tasks.
    fn allows(&self, there: &[ModelMachine], at: &ModelMachine, all: bool) -> bool {
        let counts = |level: &str| {
            let mut by: BTreeMap<String, u32> = BTreeMap::new();
            let mut unknown = 0;
            for other in there {
                match Self::label(other, level) {
                    Some(label) => *by.entry(label).or_insert(0) += 1,
                    None => unknown += 1,
                }
            }
            (by, unknown)
        };
        for rule in self.rules.spread.iter().filter(|r| r.must || all) {
            let max = self.max(rule);
            if max >= self.tasks {
                continue;
            }
            let (by, unknown) = counts(&rule.level);
            let Some(label) = Self::label(at, &rule.level) else {
                return false;
            };
            if by.get(&label).copied().unwrap_or(0) + unknown + 1 > max {
                return false;
            }
        }
        if self.tasks > 1 {
            let together = self.rules.together.iter().filter(|r| r.must || all);
            for rule in together {
                let (by, unknown) = counts(&rule.level);
                let Some(label) = Self::label(at, &rule.level) else {
                    return false;
                };
                if !there.is_empty() && (unknown > 0 || !by.contains_key(&label)) {
                    return false;
                }
            }
            if let Some(rule) = &self.rules.fewest {
                let (by, unknown) = counts(&rule.level);
                let used = by.len() as u32 + unknown;
                let label = Self::label(at, &rule.level);
                let there = label.as_ref().is_some_and(|l| by.contains_key(l));
                if there {
                    return true;
                }
                if all && (used > 0 || label.is_none()) {
                    return false;
                }
                if rule.must && rule.max > 0 && (used >= rule.max || label.is_none()) {
                    return false;
                }
            }
        }
        true
    }
}

fn tree(machines: &[ModelMachine]) -> Tree {
    let paths: Vec<String> = machines
        .iter()
        .filter(|m| !m.path.is_empty())
        .map(|m| m.path.join("/"))
        .collect();
    let levels = LEVELS.map(String::from);
    Tree::new(&levels, paths.iter().map(String::as_str)).expect("a tree")
}

fn place(tree: &Tree, m: &ModelMachine) -> Domain {
    tree.find(&m.path.join("/")).expect("it is in the tree")
}

fn device_inventory(m: &ModelMachine) -> DeviceInventory {
    let mut device_inventory = DeviceInventory::default();
    for (unit, share, broken) in &m.units {
        device_inventory.put(unit.clone(), *share, *broken);
    }
    device_inventory
}

fn location(place: Domain, machine: &str) -> MachineLocation<'_> {
    MachineLocation { place, machine }
}

/// Returns all machines that a policy allows, in the same way as the index: sorted by
/// place, with excluded ranges skipped as a whole.
fn allowed(
    policy: &Policy,
    tree: &Tree,
    tally: &Tally,
    machines: &[ModelMachine],
    reach: Reach,
) -> Vec<String> {
    let mut order: Vec<(Domain, &str)> = machines
        .iter()
        .map(|m| (place(tree, m), m.name.as_str()))
        .collect();
    order.sort();
    let mut out = Vec::new();
    let mut from = Domain(0);
    for (domain, name) in order {
        if domain < from {
            continue;
        }
        match policy.bars(tree, tally, location(domain, name), reach) {
            None => out.push(name.to_owned()),
            Some(barred) => from = from.max(barred.until),
        }
    }
    out.sort();
    out
}

proptest! {
    // One fixed seed gives the same verdict in every run.
    #![proptest_config(ProptestConfig {
        cases: 600,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Compares the allowed machines with those of the plain model after each step, while
    /// machines are lost and places change. The same units are given out, and no unit is given
    /// out twice.
    #[test]
    fn placement_is_the_plain_models(case in case()) {
        let mut machines = case.machines.clone();
        let mut there: Vec<(String, Vec<Unit>)> = Vec::new();
        let mut held: BTreeMap<String, AllocatedDevices> = BTreeMap::new();
        for (what, n, m) in case.steps {
            if machines.is_empty() {
                break;
            }
            let tree = tree(&machines);
            let policy = Policy::new([&case.rules], &tree, case.tasks);
            let at = |name: &str| machines.iter().find(|m| m.name == name).cloned();
            let others: Vec<ModelMachine> = there.iter().filter_map(|(name, _)| at(name)).collect();
            let mut domains = [0; 4];
            for (depth, count) in domains.iter_mut().enumerate() {
                let mut labels: Vec<_> = machines
                    .iter()
                    .filter_map(|m| PlainModel::label(m, LEVELS[depth]))
                    .collect();
                labels.sort();
                labels.dedup();
                *count = labels.len();
            }
            let plain = PlainModel { rules: &case.rules, tasks: case.tasks, domains };
            let places: Vec<MachineLocation> = others
                .iter()
                .map(|m| location(place(&tree, m), &m.name))
                .collect();
            let tally = policy.tally(&tree, places.into_iter().map(Some));
            let mut found = Vec::new();
            for (reach, all) in [(Reach::All, true), (Reach::Musts, false)] {
                let real = allowed(&policy, &tree, &tally, &machines, reach);
                let model: Vec<String> = machines
                    .iter()
                    .filter(|m| plain.allows(&others, m, all))
                    .map(|m| m.name.clone())
                    .collect();
                prop_assert_eq!(&real, &model, "reach {:?}", reach);
                if found.is_empty() {
                    found = real;
                }
            }
            match what {
                0 => {
                    // Machine n is lost, together with its tasks.
                    let gone = machines.remove(n % machines.len());
                    there.retain(|(name, _)| *name != gone.name);
                    held.remove(&gone.name);
                }
                1 => {
                    let path = machines[m % machines.len()].path.clone();
                    let at = n % machines.len();
                    machines[at].path = path;
                }
                _ if !found.is_empty() && (there.len() as u32) < case.tasks => {
                    let name = found[n % found.len()].clone();
                    let machine = at(&name).expect("it is there");
                    let held = held.entry(name.clone()).or_default();
                    let chosen = choose(&device_inventory(&machine), held, &policy.devices);
                    let free: usize = machine
                        .units
                        .iter()
                        .filter(|(u, share, broken)| !broken && held.holders(u) < *share)
                        .count();
                    let need = policy.devices.first();
                    let short = need.is_some_and(|d| d.must && free < d.count as usize);
                    prop_assert_eq!(chosen.is_none(), short);
                    if let Some(units) = chosen {
                        held.take(&units);
                        for (unit, share, broken) in &machine.units {
                            prop_assert!(held.holders(unit) <= *share, "given out twice");
                            prop_assert!(!broken || held.holders(unit) == 0, "a broken one");
                        }
                        let known = |u: &Unit| machine.units.iter().any(|(k, _, _)| k == u);
                        prop_assert!(units.iter().all(known), "a missing one");
                        there.push((name, units));
                    }
                }
                _ => {}
            }
        }
    }

    /// Checks that a gang is planned whole exactly if the plain model finds capacity for it.
    /// The plan never exceeds free capacity, and stays in one domain if one has the free
    /// capacity.
    #[test]
    fn gangs_are_planned_whole_or_not_at_all(
        machines in (1..20_usize).prop_flat_map(|n| (0..n).map(machine).collect::<Vec<_>>()),
        free in prop::collection::vec(0..5_u32, 20),
        tasks in 1..30_u32,
    ) {
        let tree = tree(&machines);
        let slots: Vec<Slot> = machines
            .iter()
            .zip(&free)
            .map(|(m, free)| Slot {
                machine: MachineId::from(m.name.as_str()),
                place: place(&tree, m),
                free: *free,
                later: free + 1,
                cost: 0,
            })
            .collect();
        let sum: u32 = slots.iter().map(|s| s.free).sum();
        let plan = gang::plan_now(Some(&tree), &slots, tasks, &gang::NoRules);
        prop_assert_eq!(plan.is_some(), sum >= tasks);
        let Some(plan) = plan else { return Ok(()) };
        prop_assert_eq!(plan.iter().map(|on| on.tasks).sum::<u32>(), tasks);
        for gang::Assignment { machine: name, tasks: count } in &plan {
            let slot = slots.iter().find(|s| s.machine == *name).expect("a slot");
            prop_assert!(*count <= slot.free);
        }
        let label = |name: &MachineId, depth: usize| {
            let m = machines.iter().find(|m| m.name == name.as_str()).expect("it");
            PlainModel::label(m, LEVELS[depth])
        };
        // Finds the innermost level at which one domain has free capacity for all tasks.
        for depth in (0..3).rev() {
            let mut free_capacity: BTreeMap<String, u32> = BTreeMap::new();
            for s in &slots {
                if let Some(l) = label(&s.machine, depth) {
                    *free_capacity.entry(l).or_insert(0) += s.free;
                }
            }
            if free_capacity.values().any(|n| *n >= tasks) {
                let used: Vec<_> = plan.iter().map(|on| label(&on.machine, depth)).collect();
                prop_assert!(used.iter().all(|l| l.is_some() && *l == used[0]));
                // Using the slots with the most free capacity first gives the minimum number of
                // machines.
                let inside = |s: &&Slot| label(&s.machine, depth) == used[0];
                let mut sizes: Vec<u32> = slots.iter().filter(inside).map(|s| s.free).collect();
                sizes.sort_unstable_by(|a, b| b.cmp(a));
                let mut left = tasks;
                let least = sizes.iter().take_while(|n| {
                    let more = left > 0;
                    left = left.saturating_sub(**n);
                    more
                });
                prop_assert_eq!(plan.len(), least.count());
                break;
            }
        }
    }
}

fn spec(kind: &str, tasks: u32) -> JobSpec {
    let body = serde_json::json!({"jobclass": "c", "crew": "t", "shape": kind, "rank": "normal",
        "pieces": tasks, "cpus": 1.0, "cards": 0.0, "ram_gb": 1.0, "bundle": "i", "pull_gb": 1.0,
        "builds": null, "rack": null, "together": false, "spread": false, "loaners": true,
        "guess_s": 5.0, "mark_s": 0.0, "stash_s": 0.0, "due_s": null});
    read_job(body).expect("a job")
}

const FILE: &str = r#"
    version = 1
    [[place]]
    domain = "za/r1/s1"
    networks = ["10.1.1.0/24", "fd00:1::/64"]
    [[place]]
    domain = "za/r1/s2"
    networks = ["10.1.2.0/24"]
    patterns = ["odd-*"]
    [[place]]
    domain = "zb/r1/s1"
    networks = ["10.1.0.0/16"]
    machines = ["vm-1"]
    [[device]]
    kind = "enc"
    networks = ["10.1.1.0/25"]
    units = ["a", "b"]
    broken = ["b"]
"#;

/// Checks that a job that can never be placed gets a reason, and that a job that only has
/// to wait gets none.
#[test]
fn what_can_never_be_placed_is_told_from_what_waits() {
    let topology = sorrelhinge_topology::Topology::parse(FILE).expect("valid");
    let never = |kind: &str, tasks: u32, zone: Option<&str>, rules: &str| {
        let mut spec = spec(kind, tasks);
        spec.zone = zone.map(Into::into);
        let rules: PlacementRules = serde_json::from_str(rules).expect("rules");
        let never = Policy::new([&rules], &topology.tree, tasks).never(&topology, &spec);
        never.map(|why| why.to_string())
    };
    let one_each = r#"{"spread": [{"level": "switch", "most": 1}]}"#;
    assert_eq!(never("standing", 3, None, one_each), None);
    assert!(never("standing", 4, None, one_each).is_some());
    // Tasks of an array can run one after another, so 40 tasks fit.
    assert_eq!(never("sweep", 40, None, one_each), None);
    assert_eq!(never("standing", 2, Some("za"), one_each), None);
    assert!(never("standing", 2, Some("zb"), one_each).is_some());
    let preferred = r#"{"spread": [{"level": "switch", "most": 1, "must": false}]}"#;
    assert_eq!(never("standing", 9, None, preferred), None);
    let both = r#"{"spread": [{"level": "switch", "most": 1}], "together": {"level": "rack"}}"#;
    assert_eq!(never("ensemble", 2, None, both), None);
    assert!(never("ensemble", 3, None, both).is_some());
    let same = r#"{"spread": [{"level": "rack", "most": 1}], "together": {"level": "rack"}}"#;
    assert!(never("ensemble", 2, None, same).is_some());
    // Broken units may be repaired, so a job that needs them waits.
    assert_eq!(
        never(
            "sweep",
            1,
            None,
            r#"{"devices": [{"kind": "enc", "count": 2}]}"#
        ),
        None
    );
    let why = never(
        "sweep",
        1,
        None,
        r#"{"devices": [{"kind": "enc", "count": 3}]}"#,
    );
    assert!(why.expect("never").contains("the most there is, is 2"));
    assert!(never("sweep", 1, None, r#"{"devices": [{"kind": "gpu"}]}"#).is_some());
    assert_eq!(
        never(
            "sweep",
            1,
            None,
            r#"{"devices": [{"kind": "gpu", "must": false}]}"#
        ),
        None
    );
    let why = never(
        "sweep",
        2,
        None,
        r#"{"spread": [{"level": "row", "most": 1}]}"#,
    );
    assert!(why.expect("never").contains("row"));
}

/// Checks that a name has precedence over a pattern and a pattern over a network, with the
/// longest prefix first. A place outside the cloud's zone for the machine counts as not
/// known.
#[test]
fn machines_find_their_place() {
    let topology = sorrelhinge_topology::Topology::parse(FILE).expect("valid");
    let find = |name: &str, addr: &str, zone: &str| {
        let place = topology.place(name, addr.parse().ok(), &zone.into());
        (topology.tree.path(place.domain).to_owned(), place.conflict)
    };
    let at = |path: &str| (path.to_owned(), false);
    assert_eq!(find("vm-7", "10.1.1.9", "za"), at("za/r1/s1"));
    assert_eq!(find("vm-7", "fd00:1::9", "za"), at("za/r1/s1"));
    assert_eq!(find("vm-7", "10.1.9.9", "zb"), at("zb/r1/s1"));
    assert_eq!(find("vm-1", "10.1.1.9", "zb"), at("zb/r1/s1"));
    assert_eq!(find("odd-3", "10.1.1.9", "za"), at("za/r1/s2"));
    assert_eq!(find("vm-7", "10.9.1.9", "za"), at("za"));
    assert_eq!(find("vm-7", "-", "za"), at("za"));
    assert_eq!(find("vm-7", "10.9.1.9", "zc"), at(""));
    assert_eq!(find("vm-7", "10.1.9.9", "za"), ("za".to_owned(), true));
    let device_inventory = topology.device_inventory("vm-7", "10.1.1.9".parse().ok(), &"t".into());
    assert!(
        device_inventory.works(&Unit::new("enc", "a"))
            && !device_inventory.works(&Unit::new("enc", "b"))
    );
    let none = topology.device_inventory("vm-7", "10.1.1.200".parse().ok(), &"t".into());
    assert!(none.is_empty());
}

/// Checks that the error for an invalid file names the line or the field.
#[test]
fn wrong_files_name_the_wrong_field() {
    let wrong = |text: &str| {
        sorrelhinge_topology::Topology::parse(text)
            .expect_err(text)
            .to_string()
    };
    let has = |text: &str, part: &str| {
        let error = wrong(text);
        assert!(error.contains(part), "{error:?} does not name {part:?}");
    };
    has("version = 2", "topology.version");
    has("version = 1\nlevels = [\"zone\", \"zone\"]", "levels");
    has(
        "version = 1\n\n[[place]]\nnetworks = [\"10.1.0.0/99\"]",
        "line 4",
    );
    has(
        "version = 1\n[[place]]\ndomain = \"a/b/c/d\"",
        "place[0].domain",
    );
    has(
        "version = 1\n[[place]]\ndomain = \"a//c\"",
        "place[0].domain",
    );
    has("version = 1\nplaces = 1", "line 2");
    has(
        "version = 1\n[[place]]\ndomain = \"a\"\nnetworks=[\"10.0.0.0/8\"]\n\
         [[place]]\ndomain = \"b\"\nnetworks=[\"10.0.0.0/8\"]",
        "place[1].networks",
    );
    has(
        "version = 1\n[[device]]\nkind = \"e\"\ncount = 1",
        "device[0].machines",
    );
    has(
        "version = 1\n[[device]]\nkind = \"e\"\ncount = 1\nunits = [\"x\"]\nmachines = [\"m\"]",
        "device[0].units",
    );
    has(
        "version = 1\n[[device]]\nkind = \"e\"\nunits = [\"x\"]\nmachines = [\"m\"]\nbroken = [\"y\"]",
        "device[0].broken",
    );
    has(
        "version = 1\n[[device]]\nkind = \"e\"\ncount = 0\nmachines = [\"m\"]",
        "device[0].count",
    );
    let policy = |rules: &str| format!("version = 1\n[[policy]]\nclass = \"c\"\n{rules}");
    has(
        &policy("wishes.spread = [{level = \"row\", most = 1}]"),
        "policy[0].wishes.spread[0].level",
    );
    has(
        &policy("wishes.spread = [{level = \"rack\", most = 0}]"),
        "policy[0].wishes.spread[0].most",
    );
    has(
        &policy("wishes.spread = [{level = \"rack\", share = 1.5}]"),
        "policy[0].wishes.spread[0].share",
    );
    has(
        &policy("wishes.devices = [{kind = \"enc\"}]"),
        "policy[0].wishes.devices[0].kind",
    );
    has("version = 1\n[repair]\nevery_s = 0.0", "repair.every_s");
}

/// Checks that two gangs take turns. A gang never has machines reserved for longer than its
/// turn while the other waits, and must wait after its turn.
#[test]
fn gangs_take_turns() {
    use sorrelhinge_protocol::types::Time;
    let mut turn = gang::Turn::default();
    assert!(turn.may_reserve(&"a", 10.0, Time(0.0)));
    assert!(!turn.may_reserve(&"b", 10.0, Time(1.0)));
    assert!(turn.may_reserve(&"a", 10.0, Time(9.0)));
    assert!(!turn.may_reserve(&"a", 10.0, Time(10.5)));
    assert!(turn.may_reserve(&"b", 10.0, Time(10.6)));
    turn.leave(&"b");
    assert!(!turn.may_reserve(&"a", 10.0, Time(12.0)));
    assert!(turn.may_reserve(&"a", 10.0, Time(21.0)));
}

/// Checks that a plan keeps a rule that limits the tasks on each machine.
#[test]
fn a_plan_keeps_rules() {
    struct Two;
    impl Rules for Two {
        fn allowed(&self, _: &[ChosenSlot<'_>], _: &Slot, wanted: u32) -> u32 {
            wanted.min(2)
        }
    }
    let slot = |n: u32, free: u32| Slot {
        machine: MachineId::from(format!("vm-{n}").as_str()),
        place: Domain(0),
        free,
        later: 4,
        cost: 0,
    };
    let slots = [slot(1, 4), slot(2, 1), slot(3, 3)];
    let plan = gang::plan_now(None, &slots, 5, &Two).expect("room");
    assert!(plan.iter().all(|on| on.tasks <= 2));
    assert_eq!(plan.iter().map(|on| on.tasks).sum::<u32>(), 5);
    assert_eq!(gang::plan_now(None, &slots, 6, &Two), None);
    assert!(gang::plan_later(None, &slots, 6, &Two).is_some());
}

/// Checks that this version reads the files that are committed under `deploy/`.
#[test]
fn the_example_and_the_schema_are_up_to_date() {
    let example = include_str!("../../../deploy/topology.toml");
    sorrelhinge_topology::Topology::parse(example).expect("the example is valid");
    let schema = include_str!("../../../deploy/topology.schema.json");
    assert_eq!(
        schema,
        sorrelhinge_topology::settings::Settings::schema(),
        "write it anew: sorrelhinge topology schema > deploy/topology.schema.json"
    );
}

/// Users and the log read these texts, so they are part of what the software promises.
#[test]
fn excluding_rules_have_their_texts() {
    let level = || "rack".to_owned();
    let text = |rule: ExclusionRule| rule.to_string();
    let unknown = UnjudgedPolicy::UnknownLevel { level: level() };
    assert_eq!(
        text(ExclusionRule::Unjudged(unknown)),
        "there is no level \"rack\""
    );
    assert_eq!(
        text(ExclusionRule::Unjudged(UnjudgedPolicy::NoTopology)),
        "this controller has no topology"
    );
    assert_eq!(
        text(ExclusionRule::UnknownDomain { level: level() }),
        "its rack is not known"
    );
    let spread = ExclusionRule::Spread {
        level: level(),
        max: 2,
    };
    assert_eq!(text(spread), "at most 2 in a rack");
    assert_eq!(
        text(ExclusionRule::Together { level: level() }),
        "all in one rack"
    );
    assert_eq!(
        text(ExclusionRule::Fewest { level: level() }),
        "in as few of each rack as can be"
    );
}

/// Users and the log also read the reasons why a job can never be placed.
#[test]
fn infeasible_policies_have_their_texts() {
    let unjudged = InfeasiblePolicy::Unjudged(UnjudgedPolicy::NoTopology);
    assert_eq!(unjudged.to_string(), "this controller has no topology");
    let devices = InfeasiblePolicy::Devices {
        kind: "enc".into(),
        count: 3,
        max: 2,
    };
    assert_eq!(
        devices.to_string(),
        "3 of \"enc\" on one machine: the most there is, is 2"
    );
    let tasks = InfeasiblePolicy::Tasks {
        at_once: 4,
        allowed: 3,
    };
    assert_eq!(
        tasks.to_string(),
        "4 tasks at a time; its rules allow 3 on all the machines described"
    );
    let few = InfeasiblePolicy::TasksInFewDomains {
        at_once: 4,
        allowed: 3,
        max_domains: 2,
        level: "rack".into(),
    };
    assert_eq!(
        few.to_string(),
        "4 tasks at a time in at most 2 of each rack: its rules allow 3"
    );
}
