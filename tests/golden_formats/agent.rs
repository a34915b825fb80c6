//! What an agent keeps on its disk: notes of its journal, attempts, descriptions.

use std::collections::BTreeMap;

use sorrelhinge::agent_client::ExitReason;
use sorrelhinge::types::{Attempt, FencingToken, Incarnation};
use sorrelhinge_agent::attempt::{Pid, Process, Task};
use sorrelhinge_agent::core::{Exit, Key, Note};
use sorrelhinge_agent::describe::{Description, Limits, Save};

use crate::add_json;
use crate::golden_files::Golden;

fn key() -> Key {
    Key {
        task_name: "run-000412/3".into(),
        attempt: Attempt(5),
    }
}

fn description() -> Description {
    Description {
        version: 1,
        command: vec!["/bin/true".into()],
        env: BTreeMap::from([("MODE".to_owned(), "fast".to_owned())]),
        cwd: Some("/tmp".into()),
        cpus: 8.5,
        cards: 1.0,
        ram_gb: 64.0,
        image: None,
        save: Some(Save {
            seconds: 4.0,
            command: vec!["/bin/sync".into()],
        }),
        limits: Limits {
            address_mb: Some(1),
            file_mb: Some(2),
            open_files: Some(8),
            cpu_s: Some(4),
        },
        log_kb: 64,
    }
}

#[test]
fn records_of_agents_are_the_golden_ones() {
    let mut golden = Golden::default();
    for (name, note) in [
        ("token", Note::FencingToken(FencingToken(9))),
        ("session", Note::Incarnation(Incarnation(7))),
        ("tick", Note::Tick(41)),
        (
            "attempt taken on",
            Note::Took(key(), vec![("encoder".into(), "enc0".into())]),
        ),
        ("attempt ended", Note::Ended(key(), ExitReason::Done, true)),
        ("attempt forgotten", Note::Forgot(key())),
    ] {
        add_json(&mut golden, &format!("note of {name}"), &note);
    }
    for (name, exit) in [
        ("done", Exit::Done),
        ("failed", Exit::Failed),
        ("saved", Exit::Saved),
        ("killed", Exit::Killed),
        ("never begun", Exit::Never),
    ] {
        add_json(&mut golden, &format!("exit {name}"), &exit);
    }
    let process = Process { pid: 4, start: 99 };
    let pid = Pid {
        boot: "b-1".into(),
        supervisor: process.clone(),
        task: Some(process),
    };
    add_json(&mut golden, "processes", &pid);
    add_json(
        &mut golden,
        "processes, none of the task",
        &Pid { task: None, ..pid },
    );
    let task = Task {
        version: 1,
        key: key(),
        description: description(),
        units: vec![("encoder".into(), "enc0".into())],
        image: Some("/images/7".into()),
        lease: "/run/lease".into(),
        lease_s: 20.0,
    };
    add_json(&mut golden, "attempt", &task);
    let task = Task {
        image: None,
        ..task
    };
    add_json(&mut golden, "attempt without an image", &task);
    golden.check("records_of_agents.txt");
}
