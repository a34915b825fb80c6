//! Layouts of what controllers send each other, in hexadecimal digits.

use sorrelhinge::peer_link::{
    ForwardedHeartbeat, HeartbeatNotice, Kind, Message, MessageHead, PeerAnnouncement, LIMITS_FELL,
    POLLS, SHARDS,
};
use sorrelhinge::peer_messages::{DelegatedTasks, Needs, Rented, TeamNeed};
use sorrelhinge::types::{Amount, Incarnation, JobId, MachineId, SequenceNumber, TypeName, Zone};
use sorrelhinge_sharding::shard::ShardId;
use sorrelhinge_sharding::slices::Need;
use zerocopy::IntoBytes;

use crate::golden_files::Golden;
use crate::hex;

const KINDS: [(&str, Kind); 12] = [
    ("revision", Kind::Hint),
    ("report for its reader", Kind::Heartbeat),
    ("report to be passed on", Kind::Via),
    ("submission", Kind::Submit),
    ("cancellation", Kind::Withdraw),
    ("answer", Kind::Answer),
    ("report taken for its reader", Kind::Adopted),
    ("machines that were heard", Kind::ForwardedHeartbeats),
    ("needs", Kind::Needs),
    ("rented machines", Kind::Rented),
    ("tasks left to a block", Kind::Left),
    ("poll", Kind::Poll),
];

/// Bytes of the header that comes before the text.
const HEADER_BYTES: usize = 24;

#[test]
fn messages_of_controllers_are_the_golden_ones() {
    let mut golden = Golden::default();
    for (name, kind) in KINDS {
        let message = Message {
            kind,
            number: 0x0102_0304_0506_0708,
            status: 421,
            flags: SHARDS | POLLS | LIMITS_FELL,
            text: b"run-000412".to_vec(),
            waits: false,
        };
        let bytes = message.encode().expect("a short text");
        let (header, text) = bytes.split_at(HEADER_BYTES);
        let MessageHead {
            message: read,
            text_bytes,
        } = Message::parse(header).expect("a header");
        assert_eq!(text_bytes, text.len());
        let read = Message {
            text: text.to_vec(),
            ..read
        };
        assert_eq!(read.encode(), Some(bytes.clone()), "{name}");
        assert_eq!(read, message);
        golden.add(name, &hex(&bytes));
    }
    golden.check("messages_of_controllers.txt");
}

#[test]
fn what_controllers_say_of_themselves_is_the_golden_one() {
    let mut golden = Golden::default();
    let shares = [0, 1, 999, 1000];
    for bits in 0..8_u16 {
        for share in shares {
            let announcement = PeerAnnouncement {
                helps: bits & 1 != 0,
                crowded: bits & 2 != 0,
                relief: bits & 4 != 0,
                share,
            };
            assert_eq!(PeerAnnouncement::parse(announcement.encode()), announcement);
            let name = format!("{bits:03b} {share}");
            golden.add(&name, &format!("{:04x}", announcement.encode()));
        }
    }
    for (name, flag) in [
        ("knows blocks", SHARDS),
        ("answers polls", POLLS),
        ("knows that limits fell", LIMITS_FELL),
    ] {
        golden.add(name, &format!("{flag:04x}"));
    }
    golden.check("what_controllers_say_of_themselves.txt");
}

#[test]
fn layouts_between_controllers_are_the_golden_ones() {
    let mut golden = Golden::default();
    let machine = MachineId::from("vm-000231");
    let heard = ForwardedHeartbeat::new(&machine, Incarnation(7), SequenceNumber(41))
        .expect("a short name");
    let bytes = heard.as_bytes();
    let read = ForwardedHeartbeat::parse(bytes).expect("one entry");
    assert_eq!(read, &[heard][..]);
    assert_eq!(
        read[0].read(),
        Some(HeartbeatNotice {
            machine: machine.clone(),
            incarnation: Incarnation(7),
            sequence: SequenceNumber(41),
        })
    );
    golden.add("machine that was heard", &hex(bytes));

    let amount = |cpu, gpu| Amount { cpu, gpu, ram: 0 };
    let need = Need {
        slice: Amount::default(),
        used: amount(8000, 1000),
        waits: amount(4000, 500),
    };
    let needs = Needs {
        shard: ShardId(1),
        machines: 40,
        spare_cpu: -3000,
        teams: vec![TeamNeed {
            team: "vision".into(),
            need,
        }],
    };
    let bytes = needs.encode();
    assert_eq!(Needs::parse(&bytes).as_ref(), Some(&needs));
    golden.add("needs", &hex(&bytes));

    let rented = Rented {
        kind: TypeName::from("g8"),
        zone: Zone::from("za"),
        spot: true,
        machines: vec![machine, MachineId::from("vm-000232")],
    };
    let bytes = rented.encode().expect("short names");
    assert_eq!(Rented::parse(&bytes).as_ref(), Some(&rented));
    golden.add("rented machines", &hex(&bytes));

    let left = DelegatedTasks {
        shard: ShardId(1),
        job: JobId::from("run-000412"),
        tasks: vec![3, 70_000],
    };
    let bytes = left.encode().expect("a short name");
    assert_eq!(DelegatedTasks::parse(&bytes).as_ref(), Some(&left));
    golden.add("tasks left to a block", &hex(&bytes));
    golden.check("layouts_between_controllers.txt");
}
