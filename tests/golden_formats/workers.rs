//! Messages between workers and controllers.

use sorrelhinge::types::{Attempt, MachineId, Seq, Session, Token, TypeName, Zone};
use sorrelhinge::worker::{
    Command, Orders, Reply, Report, ReportedImage, ReportedTask, TaskPhase, Why,
};

use crate::add_json;
use crate::golden_files::Golden;

fn report() -> Report {
    Report {
        machine: MachineId::from("vm-000231"),
        addr: "10.1.0.3:9000".parse().expect("an address"),
        build: TypeName::from("g8"),
        rack: Zone::from("za"),
        loaners: false,
        shift: Session(7),
        tick: Seq(41),
        baton: Token(3 << 20),
        warning_s: None,
        pieces: Vec::new(),
        images: Vec::new(),
    }
}

fn reported(phase: TaskPhase, cause: Option<Why>) -> ReportedTask {
    ReportedTask {
        piece: "run-000412/3".into(),
        attempt: Attempt(5),
        phase,
        cause,
    }
}

fn commands() -> Vec<Command> {
    let piece = || "run-000412/3".to_owned();
    vec![
        Command::Start {
            piece: piece(),
            attempt: Attempt(5),
            units: Vec::new(),
            from: Vec::new(),
        },
        Command::Start {
            piece: piece(),
            attempt: Attempt(6),
            units: vec![("encoder".into(), "enc0".into())],
            from: vec!["10.1.0.4:9000".parse().expect("an address")],
        },
        Command::Kill {
            piece: piece(),
            attempt: Attempt(7),
            mercy_s: 4.0,
        },
        Command::Forget {
            piece: piece(),
            attempt: Attempt(8),
        },
    ]
}

#[test]
fn messages_of_workers_are_the_golden_ones() {
    let mut golden = Golden::default();
    add_json(&mut golden, "report", &report());
    let full = Report {
        loaners: true,
        warning_s: Some(90.5),
        pieces: vec![reported(TaskPhase::Running, None)],
        images: vec![ReportedImage {
            image: "img-07".into(),
            parts: 3,
            of: 8,
        }],
        ..report()
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
        ("done", Why::Done),
        ("stopped", Why::Stopped),
        ("failed", Why::Error),
        ("without room", Why::Full),
        ("in use", Why::InUse),
        ("not known", Why::NoSuch),
        ("with its peers", Why::Peers),
        ("of an incomplete gang", Why::Incomplete),
        ("for another cause", Why::Other),
    ] {
        let task = reported(TaskPhase::Ended, Some(why));
        add_json(&mut golden, &format!("task ended {name}"), &task);
    }
    let reply = Reply {
        baton: Token(9),
        orders: commands(),
    };
    add_json(&mut golden, "reply", &reply);
    let orders = Orders {
        baton: Token(9),
        shift: Session(7),
        orders: commands(),
    };
    add_json(&mut golden, "orders", &orders);
    golden.check("messages_of_workers.txt");
}

/// Values that a later version may send are read as the ones of no meaning.
#[test]
fn unknown_words_of_workers_are_read() {
    let phase: TaskPhase = serde_json::from_str(r#""dreaming""#).expect("a phase");
    let why: Why = serde_json::from_str(r#""bored""#).expect("a cause");
    assert_eq!((phase, why), (TaskPhase::Other, Why::Other));
}
