//! Messages between operators and controllers.

use std::collections::BTreeMap;

use sorrelhinge::types::MachineId;
use sorrelhinge_priority_lanes::shown::{LaneShown, LanesShown, WaitShown};
use sorrelhinge_protocol::operators::{
    DeviceShown, DomainShown, DrainAsked, DrainShown, PinAsked, ShardShown, ShardsShown, Target,
    TeamShown, TopologyShown, UndrainAsked,
};

use crate::add_json;
use crate::golden_files::Golden;

fn topology() -> TopologyShown {
    let device = DeviceShown {
        units: 4,
        broken: 1,
        slots: 3,
        held: 2,
    };
    let domain = DomainShown {
        domain: "za/s0".into(),
        level: "switch".into(),
        machines: 6,
        usable: 5,
        draining: 1,
        tasks: 17,
        devices: BTreeMap::from([("encoder".to_owned(), device)]),
    };
    let drain = DrainShown {
        number: 3,
        target: "za/s0".into(),
        left_s: 61.5,
        away: 2,
        keep: true,
        machines: 6,
        empty: 1,
        tasks: 17,
        stopping: 4,
        done: false,
    };
    TopologyShown {
        levels: vec!["zone".into(), "switch".into()],
        domains: vec![domain],
        unplaced: vec![MachineId::from("vm-000231")],
        drains: vec![drain],
    }
}

fn shards() -> ShardsShown {
    let team = TeamShown {
        team: "vision".into(),
        part_cpus: 8.5,
        used_cpus: Some(4.0),
        waiting_cpus: Some(2.0),
    };
    let silent = TeamShown {
        used_cpus: None,
        waiting_cpus: None,
        ..team.clone()
    };
    let shard = ShardShown {
        shard: 1,
        owner: Some("n-0".into()),
        alive: true,
        grant: 12,
        to: Some("n-1".into()),
        pin: Some("n-2".into()),
        machines: Some(40),
        why: "balance".into(),
        teams: vec![team, silent],
    };
    ShardsShown {
        leader: Some("n-0".into()),
        shards: vec![shard, ShardShown::default()],
    }
}

fn lanes() -> LanesShown {
    let waits = WaitShown {
        job: "run-000412".into(),
        class: "train".into(),
        team: "vision".into(),
        place: 77,
        waited_s: 30.5,
        left_s: Some(-2.0),
        front: true,
        ..WaitShown::default()
    };
    let lane = LaneShown {
        name: "urgent".into(),
        order: -1,
        part: 0.25,
        cpus: 16.0,
        of_cpus: 64.0,
        waiting: vec![waits, WaitShown::default()],
    };
    LanesShown { lanes: vec![lane] }
}

#[test]
fn messages_of_operators_are_the_golden_ones() {
    let mut golden = Golden::default();
    let drain = DrainAsked {
        target: "za/s0".into(),
        deadline_s: 90.0,
        away: 2,
        keep: true,
    };
    add_json(&mut golden, "drain", &drain);
    let least: DrainAsked = serde_json::from_str(r#"{"target": "vm-000231"}"#).expect("a drain");
    add_json(
        &mut golden,
        "drain of which the target alone is given",
        &least,
    );
    for (name, target) in [
        ("number", Target::Number(3)),
        ("target", Target::Text("za/s0".into())),
    ] {
        let undrain = UndrainAsked { target };
        add_json(
            &mut golden,
            &format!("end of a drain by its {name}"),
            &undrain,
        );
    }
    for to in [Some("n-1".to_owned()), None] {
        let name = format!("block moved to {}", to.as_deref().unwrap_or("none"));
        add_json(&mut golden, &name, &PinAsked { block: 1, to });
    }
    add_json(&mut golden, "topology", &topology());
    add_json(&mut golden, "blocks", &shards());
    add_json(&mut golden, "lanes", &lanes());
    golden.check("messages_of_operators.txt");
}
