//! Messages between workers and controllers.

use sorrelhinge::agent_client::{
    Command, DirectCommands, ExitReason, Heartbeat, Reply, ReportedImage, ReportedTask, TaskPhase,
};
use sorrelhinge::types::{
    Attempt, FencingToken, Incarnation, MachineId, SequenceNumber, TypeName, Zone,
};

use crate::add_json;
use crate::golden_files::Golden;

fn heartbeat() -> Heartbeat {
    Heartbeat {
        machine: MachineId::from("vm-000231"),
        addr: "10.1.0.3:9000".parse().expect("an address"),
        machine_type: TypeName::from("g8"),
        zone: Zone::from("za"),
        spot: false,
        incarnation: Incarnation(7),
        sequence: SequenceNumber(41),
        fencing_token: FencingToken(3 << 20),
        preemption_notice_s: None,
        tasks: Vec::new(),
        images: Vec::new(),
    }
}

fn reported(phase: TaskPhase, exit_reason: Option<ExitReason>) -> ReportedTask {
    ReportedTask {
        task_name: "run-000412/3".into(),
        attempt: Attempt(5),
        phase,
        exit_reason,
    }
}

fn commands() -> Vec<Command> {
    let task_name = || "run-000412/3".to_owned();
    vec![
        Command::Start {
            task_name: task_name(),
            attempt: Attempt(5),
            units: Vec::new(),
            from: Vec::new(),
        },
        Command::Start {
            task_name: task_name(),
            attempt: Attempt(6),
            units: vec![("encoder".into(), "enc0".into())],
            from: vec!["10.1.0.4:9000".parse().expect("an address")],
        },
        Command::Kill {
            task_name: task_name(),
            attempt: Attempt(7),
            grace_s: 4.0,
        },
        Command::Forget {
            task_name: task_name(),
            attempt: Attempt(8),
        },
    ]
}

#[test]
fn messages_of_workers_are_the_golden_ones() {
    let mut golden = Golden::default();
    add_json(&mut golden, "report", &heartbeat());
    let full = Heartbeat {
        spot: true,
        preemption_notice_s: Some(90.5),
        tasks: vec![reported(TaskPhase::Running, None)],
        images: vec![ReportedImage {
            image: "img-07".into(),
            parts: 3,
            of: 8,
        }],
        ..heartbeat()
    };
    add_json(&mut golden, "report with everything", &full);
    for (name, phase) in [
        ("fetching", TaskPhase::Fetching),
        ("running", TaskPhase::Running),
        ("waiting", TaskPhase::Waiting),
        ("saving", TaskPhase::Saving),
        ("in another phase", TaskPhase::Other),
    ] {
        let task = reported(phase, None);
        add_json(&mut golden, &format!("task {name}"), &task);
    }
    for (name, why) in [
        ("done", ExitReason::Done),
        ("stopped", ExitReason::Stopped),
        ("failed", ExitReason::Error),
        ("without room", ExitReason::Full),
        ("in use", ExitReason::InUse),
        ("not known", ExitReason::NoSuch),
        ("with its peers", ExitReason::Peers),
        ("of an incomplete gang", ExitReason::Incomplete),
        ("for another cause", ExitReason::Other),
    ] {
        let task = reported(TaskPhase::Ended, Some(why));
        add_json(&mut golden, &format!("task ended {name}"), &task);
    }
    let reply = Reply {
        fencing_token: FencingToken(9),
        commands: commands(),
    };
    add_json(&mut golden, "reply", &reply);
    let commands = DirectCommands {
        fencing_token: FencingToken(9),
        incarnation: Incarnation(7),
        commands: commands(),
    };
    add_json(&mut golden, "orders", &commands);
    golden.check("messages_of_workers.txt");
}

/// Values that a later version may send are read as the ones of no meaning.
#[test]
fn unknown_words_of_workers_are_read() {
    let phase: TaskPhase = serde_json::from_str(r#""dreaming""#).expect("a phase");
    let why: ExitReason = serde_json::from_str(r#""bored""#).expect("a cause");
    assert_eq!((phase, why), (TaskPhase::Other, ExitReason::Other));
}
