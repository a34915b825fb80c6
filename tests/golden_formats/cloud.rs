//! Messages between controllers and the cloud.

use sorrelhinge::cloud::{ListedMachine, MachinePhase, Rental};
use sorrelhinge::types::{MachineId, TypeName, Zone};
use sorrelhinge_protocol::cloud::{MachineListPage, MachineNames, MachineTypeList, WireType};

use crate::add_json;
use crate::golden_files::Golden;

fn machine_type(market_price: Option<f64>) -> WireType {
    WireType {
        label: "g8".into(),
        cpus: 64.0,
        cards: 8.0,
        ram_gb: 512.0,
        cache_gb: 200.0,
        pull_gb_per_s: 0.5,
        rate: 12.5,
        market_price,
        startup_s: 45.0,
        racks: vec!["za".into(), "zb".into()],
    }
}

fn listed(phase: MachinePhase) -> ListedMachine {
    ListedMachine {
        id: MachineId::from("vm-000231"),
        addr: Some("10.1.0.3:9000".parse().expect("an address")),
        machine_type: TypeName::from("g8"),
        zone: Zone::from("za"),
        spot: true,
        phase,
        age_s: 61.5,
    }
}

#[test]
fn messages_of_the_cloud_are_the_golden_ones() {
    let mut golden = Golden::default();
    let types = MachineTypeList {
        types: vec![machine_type(Some(4.0)), machine_type(None)],
    };
    add_json(&mut golden, "machine types", &types);
    for (name, phase) in [
        ("booting", MachinePhase::Booting),
        ("running", MachinePhase::Running),
        ("failed", MachinePhase::Failed),
        ("in another phase", MachinePhase::Other),
    ] {
        add_json(&mut golden, &format!("machine {name}"), &listed(phase));
    }
    let list = MachineListPage {
        machines: vec![ListedMachine {
            addr: None,
            ..listed(MachinePhase::Booting)
        }],
        truncated: true,
    };
    add_json(&mut golden, "machines", &list);
    let names = MachineNames {
        machines: vec![MachineId::from("vm-000231"), MachineId::from("vm-000232")],
    };
    add_json(&mut golden, "machines by name", &names);
    let rental = Rental {
        request_id: "n-0-3-17".into(),
        machine_type: TypeName::from("g8"),
        zone: Zone::from("za"),
        spot: true,
        count: 50,
    };
    add_json(&mut golden, "rental", &rental);
    golden.check("messages_of_the_cloud.txt");
}
