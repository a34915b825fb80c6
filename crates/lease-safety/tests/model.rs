//! Compares the decisions of this crate with slow, simple models over generated event sequences.

use proptest::prelude::*;
use sorrelhinge_lease_safety::heartbeat_order::{
    HeartbeatOrder, MACHINE_RETENTION_S, MAX_MACHINES,
};
use sorrelhinge_lease_safety::reachability::{Reachability, MAX_HEARTBEATS_WITHOUT_EFFECT};
use sorrelhinge_lease_safety::renewal::{HeartbeatContent, Renewals, Route};
use sorrelhinge_protocol::types::{Incarnation, MachineId, SequenceNumber, Time};
use sorrelhinge_protocol::worker::Heartbeat;

/// Returns a heartbeat as a worker sends it. `what` determines the task and its phase.
fn heartbeat(machine: u8, tick: u64, fencing_token: u64, what: u8) -> Heartbeat {
    let phase = ["fetching", "running", "ended"][usize::from(what % 3)];
    let exit_reason = if phase == "ended" { "\"done\"" } else { "null" };
    let text = format!(
        "{{\"box\":\"vm-{machine}\",\"addr\":\"127.0.0.1:9\",\"build\":\"t\",\"rack\":\"za\",\
         \"shift\":1,\"tick\":{tick},\"baton\":{fencing_token},\"warning_s\":null,\"pieces\":[\
         {{\"piece\":\"run-000001/{}\",\"try\":1,\"phase\":\"{phase}\",\"cause\":{exit_reason}}}]}}",
        what / 3
    );
    serde_json::from_str(&text).expect("a heartbeat")
}

proptest! {
    /// The owner gets each heartbeat with new content at once, and one of every reporting machine
    /// within a few intervals. If the owner does not ask for relief, it gets all heartbeats.
    #[test]
    fn the_owner_gets_all_new_content(
        heartbeats in prop::collection::vec((0..4_u8, 0..5_u8, 0..3_u64, any::<bool>(), 0.5..9.0_f64, any::<bool>()), 1..300),
    ) {
        let heartbeat_s = 6.0;
        let mut renewals = Renewals::default();
        // The model keeps the whole heartbeat that the owner last answered, and the time of the
        // answer.
        let mut last_answers: std::collections::BTreeMap<u8, (String, f64)> = Default::default();
        let mut now = 0.0;
        for (tick, (machine, what, fencing_token, relief, passed, answers)) in heartbeats.into_iter().enumerate() {
            now += passed / 4.0;
            let sent = heartbeat(machine, tick as u64 + 1, fencing_token, what);
            let same = Heartbeat { sequence: Default::default(), ..sent.clone() };
            let same = serde_json::to_string(&same).expect("text");
            let content = HeartbeatContent::of(&sent);
            let route = renewals.route(&sent.machine, content, relief, heartbeat_s, Time(now));
            let known = last_answers.get(&machine).is_some_and(|(text, _)| *text == same);
            let lately = last_answers.get(&machine).is_some_and(|(_, at)| now - at < 2.5 * heartbeat_s);
            let spared = relief && known && lately;
            prop_assert_eq!(route, if spared { Route::Renew } else { Route::Ask });
            if route == Route::Ask && answers {
                renewals.answered(&sent.machine, content, Time(now));
                last_answers.insert(machine, (same, now));
            }
        }
        prop_assert!(renewals.len() <= 4);
    }
}

// ---- duplicates of heartbeats -------------------------------------------------

proptest! {
    /// A heartbeat counts as a duplicate exactly if it is not newer than all earlier heartbeats of
    /// the same machine, in any order of arrival.
    #[test]
    fn duplicates_are_detected_by_incarnation_and_tick(
        heartbeats in prop::collection::vec((0..4_u8, 1..4_u64, 0..30_u64), 1..200),
    ) {
        let mut order = HeartbeatOrder::default();
        let mut newest = std::collections::BTreeMap::new();
        for (machine, incarnation, tick) in heartbeats {
            let id = MachineId::from(&*format!("vm-{machine}"));
            let new = order.is_new(&id, Incarnation(incarnation), SequenceNumber(tick), Time(1.0));
            let at = newest.entry(machine).or_default();
            prop_assert_eq!(new, *at < (incarnation, tick));
            *at = (incarnation, tick).max(*at);
        }
    }
}

/// The number of remembered machines is bounded for any number of machines that appear and
/// disappear. Machines that send heartbeats stay remembered.
#[test]
fn heartbeat_order_has_bounded_memory() {
    let mut order = HeartbeatOrder::default();
    let id = |n: usize| MachineId::from(&*format!("vm-{n:07}"));
    let stays = id(9_999_999);
    for n in 0..3 * MAX_MACHINES {
        let now = Time(n as f64 * 0.001);
        assert!(order.is_new(&id(n), Incarnation(1), SequenceNumber(1), now));
        if n % 100 == 0 {
            assert!(order.is_new(&stays, Incarnation(1), SequenceNumber(n as u64 + 1), now));
        }
        assert!(order.len() <= MAX_MACHINES + 1);
    }
    let again = order.is_new(&stays, Incarnation(1), SequenceNumber(1), Time(61.0));
    assert!(!again, "the machine is remembered");
    order.is_new(
        &stays,
        Incarnation(2),
        SequenceNumber(1),
        Time(61.0 + 2.0 * MACHINE_RETENTION_S),
    );
    assert_eq!(order.len(), 1);
}

// ---- reachability of a machine ----------------------------------------------

#[derive(Clone, Copy, Debug)]
enum Event {
    Asked,
    Heartbeat(bool),
    Proved,
    Pause(u8),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => Just(Event::Asked),
        16 => prop::bool::weighted(0.9).prop_map(Event::Heartbeat),
        1 => Just(Event::Proved),
        12 => (0_u8..20).prop_map(Event::Pause),
    ]
}

proptest! {
    /// A machine counts as unreachable only if a command was sent and enough heartbeats followed
    /// for the whole `patience` without an effect.
    #[test]
    fn nothing_is_unreachable_without_evidence(history in prop::collection::vec(event(), 1..200)) {
        let (patience, lease) = (5.0, 20.0);
        let mut reachability = Reachability::default();
        let (mut now, mut log) = (0.0, Vec::new());
        for what in history {
            match what {
                Event::Asked => reachability.asked(Time(now)),
                Event::Heartbeat(answered) => {
                    reachability.reported(Time(now));
                    if answered {
                        reachability.answered(lease, Time(now));
                    }
                }
                Event::Proved => reachability.proved(Time(now)),
                Event::Pause(tenths) => now += f64::from(tenths) / 10.0,
            }
            log.push((now, what));
            if !reachability.is_unreachable(patience, Time(now)) {
                continue;
            }
            let proof = log.iter().rposition(|(_, w)| matches!(w, Event::Proved));
            let since = &log[proof.map_or(0, |i| i + 1)..];
            let asked = since.iter().find(|(_, w)| matches!(w, Event::Asked));
            let asked = asked.map(|(at, _)| *at).expect("asked for an effect");
            prop_assert!(now - asked >= patience);
            let heartbeats = since.iter().filter(|(at, w)| *at >= asked && matches!(w, Event::Heartbeat(_)));
            prop_assert!(heartbeats.count() > MAX_HEARTBEATS_WITHOUT_EFFECT as usize);
        }
    }

    /// A machine that sends heartbeats, gets answers and shows no effect of a command is detected
    /// as unreachable after `patience`, and no sooner. One effect ends that state, and a quarantine
    /// follows.
    #[test]
    fn a_machine_without_effects_becomes_unreachable(every in 0.2..2.0_f64, patience in 4.0..30.0_f64) {
        let mut reachability = Reachability::default();
        reachability.proved(Time(0.0));
        reachability.asked(Time(1.0));
        let (mut now, mut found) = (1.0, None);
        while now < 60.0 {
            now += every;
            reachability.reported(Time(now));
            reachability.answered(20.0, Time(now));
            if found.is_none() && reachability.is_unreachable(patience, Time(now)) {
                found = Some(now - 1.0);
            }
        }
        let found = found.expect("detected as unreachable");
        let max = patience.max(every * f64::from(MAX_HEARTBEATS_WITHOUT_EFFECT + 1)) + every;
        prop_assert!((patience..=max + 1e-9).contains(&found), "{} of {}", found, max);
        reachability.proved(Time(now));
        prop_assert!(!reachability.in_doubt() && reachability.is_quarantined(Time(now + 1.0)));
        prop_assert!(!reachability.is_quarantined(Time(now + 10.0)));
    }
}

/// In an outage of the state service no heartbeat is answered, so a machine shows no effect of a
/// command. Such a machine must not count as unreachable after the outage. An incarnation that
/// ended because the machine hung does not count as lost, but one whose answers were lost does.
#[test]
fn unanswered_heartbeats_are_no_evidence() {
    let mut reachability = Reachability::default();
    reachability.answered(20.0, Time(0.0));
    reachability.asked(Time(1.0));
    for s in 1..90 {
        reachability.reported(Time(f64::from(s)));
        assert!(!reachability.is_unreachable(20.0, Time(f64::from(s))));
    }
    let (mut hung, mut answers_lost) = (Reachability::default(), Reachability::default());
    for lease in 0..4 {
        let begun = f64::from(lease) * 30.0;
        hung.answered(20.0, Time(begun));
        for s in 0..30 {
            answers_lost.reported(Time(begun + f64::from(s)));
            answers_lost.answered(20.0, Time(begun + f64::from(s)));
        }
        assert!(!hung.incarnation_ended(20.0, Time(begun + 29.0)));
        let lost = answers_lost.incarnation_ended(20.0, Time(begun + 29.0));
        assert_eq!(
            lost,
            lease > 1,
            "the third lost incarnation in a row is no chance"
        );
    }
    // A single lost incarnation long after the others counts as chance again.
    for s in [300.0, 315.0, 320.0] {
        answers_lost.answered(20.0, Time(s));
    }
    assert!(!answers_lost.incarnation_ended(20.0, Time(321.0)));
}
