//! Names in the platform's settings and in the operators' properties, and what each sets.

use sorrelhinge::config::{lanes, Config, Tuning};
use sorrelhinge::types::Amount;

use crate::golden_files::Golden;

/// Every setting, each with a value of its own.
const PLATFORM: &str = r#"node = "n-0"
area = "za"
bind = "127.0.0.1:1"
peer_bind = "127.0.0.1:2"
[[others]]
node = "n-1"
area = "zb"
address = "127.0.0.1:5"
[outside]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[params]
zones = ["za", "zb"]
clock_off_ms = 7.0
[[params.teams]]
name = "red"
cpus = 6.0
cpus_max = 10.0
gpus = 1.0
gpus_max = 2.0
[[params.objectives]]
kind = "wait"
class = "live"
within_s = 11.0
[[params.objectives]]
kind = "finished"
class = "train"
within_s = 33.0
[[params.objectives]]
kind = "deadline"
class = "train"
times = 0.5
[params.workers]
report_s = 1.0
lease_s = 20.0
cancel_s = 40.0
[params.state]
rps = 101.0
write_rps = 102.0
value_kb = 4.0
txn_ops = 5
[params.state.next]
write_rps = 51.0
value_kb = 2.0
txn_ops = 3
[params.cloud]
rps = 12.0
list_lag_s = 2.5
[params.machine_limits]
max_sockets = 700
"#;

fn amount(amount: Amount) -> String {
    format!("{} {} {}", amount.cpu, amount.gpu, amount.ram)
}

#[test]
fn settings_are_read_as_the_golden_ones() {
    let mut golden = Golden::default();
    let config = Config::parse(PLATFORM).expect("valid settings");
    let limits = &config.state_limits;
    let other = &config.others[0];
    let team = &config.teams[0];
    let zones: Vec<String> = config.zones.iter().map(ToString::to_string).collect();
    for (name, value) in [
        ("node", config.node.to_string()),
        ("area", config.zone.to_string()),
        ("bind", config.bind.to_string()),
        ("peer_bind", config.peer_bind.to_string()),
        ("others.node", other.node.to_string()),
        ("others.area", other.zone.to_string()),
        ("others.address", other.address.to_string()),
        ("outside.cloud", config.cloud.to_string()),
        ("outside.state", config.state.to_string()),
        ("zones", zones.join(" ")),
        ("clock_off_ms", config.clock_off_ms.to_string()),
        ("teams.name", team.name.to_string()),
        ("teams.cpus, gpus", amount(team.guarantee)),
        ("teams.cpus_max, gpus_max", amount(team.limit)),
        ("workers.report_s", config.heartbeat_s.to_string()),
        ("workers.lease_s", config.lease_s.to_string()),
        ("workers.cancel_s", config.cancel_s.to_string()),
        ("state.rps", config.state_rps.to_string()),
        ("state.write_rps", limits.write_rps.to_string()),
        (
            "state.next.write_rps",
            format!("{:?}", limits.next_write_rps),
        ),
        ("state.value_kb, the lower", limits.value_bytes.to_string()),
        (
            "state.value_kb, the higher",
            limits.stored_value_bytes.to_string(),
        ),
        ("state.txn_ops", limits.txn_ops.to_string()),
        ("cloud.rps", config.cloud_rps.to_string()),
        ("cloud.list_lag_s", config.list_lag_s.to_string()),
        ("machine_limits.max_sockets", config.max_sockets.to_string()),
        ("objectives.wait", format!("{:?}", config.start_objectives)),
        (
            "objectives.finished",
            format!("{:?}", config.finish_objectives),
        ),
        (
            "objectives.deadline",
            format!("{:?}", config.deadline_objectives),
        ),
        ("silent", config.silent_s().to_string()),
    ] {
        golden.add(name, &value);
    }
    golden.check("settings_read.txt");
}

/// Each line of the settings left out, and each with a value of another type.
#[test]
fn settings_that_must_be_there_are_the_golden_ones() {
    let mut golden = Golden::default();
    let told = |text: &str| match Config::parse(text) {
        Ok(_) => "accepted".to_owned(),
        Err(why) => why.to_string(),
    };
    for (at, line) in PLATFORM.lines().enumerate() {
        let with = |instead: Option<&str>| {
            let lines = PLATFORM.lines().enumerate();
            let lines = lines.filter_map(|(n, text)| if n == at { instead } else { Some(text) });
            lines.collect::<Vec<_>>().join("\n")
        };
        let Some((name, _)) = line.split_once(" = ") else {
            continue;
        };
        golden.add(&format!("line {at}, no {name}"), &told(&with(None)));
        let other = format!("{name} = {{}}");
        golden.add(
            &format!("line {at}, wrong {name}"),
            &told(&with(Some(&other))),
        );
    }
    golden.check("settings_refused.txt");
}

fn shown(tuning: &Tuning) -> String {
    let t = tuning;
    format!(
        "{} {} {} {:?} {} {} {} {} {} {:?} {:?}",
        t.delay_fetches,
        t.delay_max_s,
        t.leader_lease_s,
        t.silent_s,
        t.idle_s,
        t.headroom,
        t.floor,
        t.preempt,
        t.shards_least,
        t.move_every_s,
        t.staging_least_gb,
    )
}

#[test]
fn properties_are_read_as_the_golden_ones() {
    let mut golden = Golden::default();
    golden.add("none", &shown(&Tuning::default()));
    let names = [
        "delay.fetches",
        "delay.max.s",
        "leader.lease.s",
        "machine.silent.s",
        "fleet.idle.s",
        "fleet.headroom",
        "fleet.floor",
        "blocks.least",
        "blocks.move.every.s",
        "staging.least.gb",
        "preempt",
        "no.such.property",
    ];
    for name in names {
        for value in ["7", "2.5", "-1", "1e9", "false", "word"] {
            let text = format!("{name}={value}\n");
            let told = match Tuning::parse(text.as_bytes()) {
                Ok(tuning) => shown(&tuning),
                Err(why) => why.to_string(),
            };
            golden.add(&format!("{name} = {value}"), &told);
        }
    }
    golden.check("properties_read.txt");
}

#[test]
fn lanes_are_read_as_the_golden_ones() {
    let mut golden = Golden::default();
    for text in [
        "lane.fast.classes=live*,train",
        "lane.fast.classes=live|lane.fast.order=-2|lane.fast.part=0.5",
        "lane.fast.high=true|lane.slow.classes=batch|lane.slow.order=3",
        "lane.fast.order=1",
        "lane.fast.classes=live|lane.fast.part=2",
        "lane.fast.classes=live|lane.fast.order=word",
        "lane.fast.classes=live|lane.fast.high=word",
        "lane.fast.colour=red",
        "lane.=red",
    ] {
        let told = match lanes(text.replace('|', "\n").as_bytes()) {
            Ok(lanes) => {
                let shown = lanes.iter().map(|(id, lane)| {
                    format!(
                        "{} {} {} {}",
                        id.0,
                        lane.name,
                        lane.order,
                        lane.bound.part()
                    )
                });
                shown.collect::<Vec<_>>().join("; ")
            }
            Err(why) => why.to_string(),
        };
        golden.add(text, &told);
    }
    golden.check("lanes_read.txt");
}
