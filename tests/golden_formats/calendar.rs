//! The release calendar: its windows, records and what operators are shown.

use sorrelhinge_reservations::plan::{Refused, Short};
use sorrelhinge_reservations::record::{key, CalendarRecord, Entry, Step, WindowRecord};
use sorrelhinge_reservations::settings::{Calendar, Window};
use sorrelhinge_reservations::shown::{CalendarShown, PinWindow, UnpinWindow, WindowShown};
use sorrelhinge_reservations::when::{Day, Every, Rule, When};

use crate::add_json;
use crate::golden_files::Golden;

fn weekly() -> When {
    use Day::{Fri, Mon, Sat, Sun, Thu, Tue, Wed};
    When::Weekly(Rule {
        days: vec![Mon, Tue, Wed, Thu, Fri, Sat, Sun],
        at: "19:30:00".parse().expect("a time"),
        tz: "Asia/Ho_Chi_Minh".into(),
        from: Some("2026-12-01".parse().expect("a date")),
        until: Some("2026-12-31".parse().expect("a date")),
    })
}

/// A window with a value for each field.
fn full(when: When) -> Window {
    Window {
        name: "finale".into(),
        team: "vision".into(),
        classes: vec!["train".into()],
        when,
        lasts_s: 3600,
        tasks: 40,
        cpus: 8.5,
        cards: 1.0,
        ram_gb: 64.0,
        zones: vec!["za".into()],
        types: vec!["g8".into()],
        images: vec!["img-07".into()],
        early_s: 60,
        no_show_s: 900,
    }
}

/// A window that leaves out what may be left out.
fn least(when: When) -> Window {
    Window {
        classes: Vec::new(),
        cards: 0.0,
        zones: Vec::new(),
        types: Vec::new(),
        images: Vec::new(),
        ..full(when)
    }
}

fn once() -> When {
    When::Once("2026-12-05T12:00:00Z".parse().expect("a moment"))
}

fn every(offset: &str) -> When {
    When::Every(Every {
        period: "1h 30m".parse().expect("a period"),
        offset: offset.parse().expect("a period"),
    })
}

fn shown() -> WindowShown {
    WindowShown {
        name: "finale".into(),
        team: "vision".into(),
        start_ms: Some(1_764_936_000_000),
        end_ms: Some(1_764_939_600_000),
        step: Some(Step::Held),
        tasks: 40,
        hold: 30,
        asked: 20,
        ready: 10,
        used: 5,
        pinned: true,
        short: Some(Short::Limit(4)),
        why: "the team's limit leaves room for 4 tasks".into(),
    }
}

#[test]
fn records_of_the_calendar_are_the_golden_ones() {
    let mut golden = Golden::default();
    for (name, when) in [
        ("once", once()),
        ("weekly", weekly()),
        ("every", every("0s")),
        ("every with an offset", every("5m")),
    ] {
        add_json(&mut golden, &format!("window {name}"), &full(when.clone()));
        add_json(&mut golden, &format!("least window {name}"), &least(when));
    }
    let file = Calendar {
        version: 1,
        number: 3,
        windows: vec![least(once())],
    };
    add_json(&mut golden, "file", &file);
    let entry = |pinned| Entry {
        window: least(once()),
        pinned,
    };
    let calendar = CalendarRecord {
        version: 1,
        number: 3,
        entries: vec![entry(false), entry(true)],
    };
    add_json(&mut golden, "record", &calendar);
    let steps = [
        Step::Planned,
        Step::Warming,
        Step::Held,
        Step::Releasing,
        Step::Over,
    ];
    for step in steps {
        let record = WindowRecord {
            version: 1,
            end_ms: 1_764_939_600_000,
            step,
            since_ms: 1_764_936_000_500,
            tasks: 40,
            removed: step == Step::Releasing,
        };
        add_json(&mut golden, &format!("occurrence {step}"), &record);
    }
    golden.add("key of an occurrence", &key("finale", 1_764_936_000_000));
    golden.check("records_of_the_calendar.txt");
}

#[test]
fn messages_of_the_calendar_are_the_golden_ones() {
    let mut golden = Golden::default();
    let pin = PinWindow {
        window: full(once()),
    };
    add_json(&mut golden, "pin", &pin);
    let unpin = UnpinWindow {
        name: "finale".into(),
    };
    add_json(&mut golden, "unpin", &unpin);
    let calendar = CalendarShown {
        number: 3,
        owner: Some("n-0".into()),
        windows: vec![shown()],
    };
    add_json(&mut golden, "calendar", &calendar);
    add_json(&mut golden, "no calendar", &CalendarShown::default());
    for (name, short) in [
        ("limit", Short::Limit(4)),
        ("other window", Short::GivesWay("rehearsal".into())),
        ("capacity", Short::Capacity),
        ("changes", Short::Changes),
        ("late", Short::Late(7)),
    ] {
        golden.add(&format!("short of {name}, in words"), &short.to_string());
        add_json(&mut golden, &format!("short of {name}"), &short);
    }
    add_json(&mut golden, "refused for capacity", &Refused::Capacity);
    add_json(&mut golden, "refused for changes", &Refused::Changes);
    golden.check("messages_of_the_calendar.txt");
}
