//! Tests of the calendar file and its records: faulty files with their error texts, the
//! committed example and JSON Schema, and the effect of newer files, pins and later program
//! versions on the record.

use std::collections::BTreeMap;

use sorrelhinge_protocol::types::{Amount, MachineType};
use sorrelhinge_reservations::plan::{steps, Clock, Refused, Seen};
use sorrelhinge_reservations::record::{
    key, parse_key, CalendarRecord, Entry, OccurrenceKey, Step, Taken, WindowRecord,
};
use sorrelhinge_reservations::settings::{check, past, read, schema, Calendar, Known};
use sorrelhinge_reservations::shown::{render, rows, CalendarShown};

const EXAMPLE: &str = include_str!("../../../deploy/calendar.toml");

/// Current time of the tests as Unix time in milliseconds: 2026-12-01T00:00:00Z, a Tuesday.
const NOW_MS: i64 = 1_796_083_200_000;

fn file(window: &str) -> String {
    format!("version = 1\nnumber = 3\n{window}")
}

/// Returns the TOML text of a window. `changes` replaces or adds fields.
fn window(changes: &[(&str, &str)]) -> String {
    let mut fields = BTreeMap::from([
        ("name", "\"drop\""),
        ("team", "\"deck\""),
        (
            "when",
            "{ weekly = { days = [\"sat\"], at = \"19:00\", tz = \"Asia/Ho_Chi_Minh\" } }",
        ),
        ("lasts_s", "3600"),
        ("tasks", "10"),
        ("cpus", "4.0"),
        ("ram_gb", "8.0"),
    ]);
    fields.extend(changes.iter().copied());
    let lines: Vec<String> = fields.iter().map(|(k, v)| format!("{k} = {v}")).collect();
    format!("[[window]]\n{}\n", lines.join("\n"))
}

/// Parses lines of the form `FIELDS => ERROR`. Returns for each line the TOML text of a window
/// with these fields and the expected error text.
fn table(lines: &str) -> Vec<(String, &str)> {
    let one = |line| {
        let (fields, said) = str::split_once(line, " => ").expect(line);
        let fields = fields.trim().split("; ");
        let fields = fields.map(|f| f.split_once(" = ").expect(line));
        (window(&fields.collect::<Vec<_>>()), said)
    };
    lines.trim().lines().map(one).collect()
}

fn calendar(windows: &[String]) -> Calendar {
    read(&file(&windows.concat())).expect("a right file")
}

fn taken(file: &Calendar, old: Option<&CalendarRecord>) -> CalendarRecord {
    match CalendarRecord::take(old, file) {
        Taken::Newer(record) => record,
        other => panic!("{other:?}"),
    }
}

fn known() -> Known {
    let machine = |name: &str, cpus: f64, zones: &[&str]| MachineType {
        name: name.into(),
        total: Amount::new(cpus, 0.0, 64.0),
        cache_gb: 100.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 1.0,
        boot_s: 40.0,
        zones: zones.iter().map(|z| (*z).into()).collect(),
    };
    Known {
        teams: BTreeMap::from([
            ("deck".to_string(), Amount::new(100.0, 0.0, 0.0)),
            ("play".to_string(), Amount::new(1000.0, 8.0, 0.0)),
        ]),
        zones: ["a", "b"].map(String::from).into(),
        types: vec![
            machine("small", 8.0, &["a", "b"]),
            machine("large", 32.0, &["a"]),
        ],
        now_ms: NOW_MS,
    }
}

#[test]
fn the_example_and_its_schema_are_what_the_program_reads() {
    let example = read(EXAMPLE).expect("deploy/calendar.toml");
    assert_eq!(example.windows.len(), 3);
    assert!(example.windows.iter().all(|w| w.next(NOW_MS).is_some()));
    let record = taken(&example, None);
    record.fits(4).expect("one value holds it");
    let written = serde_json::to_string(&record).expect("json");
    assert_eq!(CalendarRecord::read(&written), Some(record));
    let committed = include_str!("../../../deploy/calendar.schema.json");
    assert_eq!(schema(), committed, "run `sorrelhinge calendar schema`");
}

#[test]
fn what_is_wrong_in_a_file_is_one_line_that_names_the_place() {
    // The date 2026-12-05 in the cases is a Saturday.
    let mut cases = table(
        r#"
        tasks = "many" => line 8
        when = { sometimes = 1 } => unknown variant `sometimes`
        when = { once = "2026-12-05T19:00:00" } => offset
        when = { once = "2026-02-30T19:00:00Z" } => day
        when = { weekly = { at = "19:00", tz = "Asia/Saigong" } } => calendar.window[0].when: no such time zone
        when = { weekly = { at = "19:00", tz = "UTC", days = ["mon"], from = "2026-12-05", until = "2026-12-06" } } => calendar.window[0].when: it never happens
        when = { weekly = { at = "19:00", tz = "UTC", from = "2026-12-05", until = "2026-12-04" } } => calendar.window[0].when: it never happens
        when = { weekly = { at = "19:00", tz = "UTC", day = "sat" } } => calendar.window[0].when.day: unknown field
        when = { every = { period = "-5m" } } => calendar.window[0].when.every.period: must be at least 1 s
        lasts_s = 0 => calendar.window[0].lasts_s: lower than 1
        tasks = 0 => calendar.window[0].tasks: lower than 1
        no_show_s = 0 => calendar.window[0].no_show_s: lower than 1
        cpus = 0.0; ram_gb = 0.0 => calendar.window[0].cpus: a task takes nothing
        name = "a b" => calendar.window[0].name: letters, digits, '.', '-' and '_' only
        card = 1 => calendar.window[0].card: unknown field
        "#,
    );
    let twice = window(&[]) + &window(&[]);
    cases.push((twice, "calendar.window[1].name: \"drop\" appears twice"));
    for (text, expected) in cases {
        let error = read(&file(&text)).expect_err(&text).to_string();
        assert!(error.contains(expected), "{error:?} for\n{text}");
        assert!(!error.contains('\n'), "one line: {error:?}");
    }
    let error = read("version = 2\nnumber = 1").expect_err("a later format");
    assert_eq!(error.to_string(), "calendar.version: greater than 1");
}

#[test]
fn what_the_settings_make_impossible_is_one_line_that_names_the_window() {
    let overlapping = |tz: &str| {
        let when = format!("{{ weekly = {{ days = [\"sat\"], at = \"19:00\", tz = \"{tz}\" }} }}");
        window(&[]) + &window(&[("name", "\"late\""), ("when", &when), ("tasks", "20")])
    };
    let mut cases = table(
        r#"
        team = "dek" => window "drop": team: there is no team "dek"
        zones = ["a", "c"] => window "drop": zones: there is no zone "c"
        types = ["huge"] => window "drop": types: there is no machine type "huge"
        tasks = 1; cpus = 33.0 => window "drop": cpus: a task fits no machine type that it allows
        tasks = 1; cpus = 16.0; zones = ["a", "b"] => window "drop": zones: in "b" a task fits no machine type that it allows
        tasks = 26 => window "drop": tasks: it holds 104 CPUs and 0 GPUs, the limit of team "deck" is 100 CPUs and 0 GPUs
        when = { every = { period = "59m" } } => window "drop": lasts_s: it begins again before it ends
        "#,
    );
    let two = "window \"late\": tasks: together with drop it holds 120 CPUs and 0 GPUs, the limit of team \"deck\" is 100 CPUs and 0 GPUs";
    cases.push((overlapping("Asia/Ho_Chi_Minh"), two));
    for (text, expected) in cases {
        let read = read(&file(&text)).expect(&text);
        let said = check(&read, &known()).map_err(|e| e.to_string());
        assert_eq!(said, Err(expected.to_string()));
    }
    // In Singapore the same local time is an hour earlier, so one window begins as the other
    // ends.
    let next = overlapping("Asia/Singapore").replace("20", "15");
    assert_eq!(check(&calendar(&[next]), &known()), Ok(()));
    let over = calendar(&[window(&[("when", "{ once = \"2026-11-30T19:00:00Z\" }")])]);
    assert_eq!(check(&over, &known()), Ok(()), "a restart after it");
    let said = "window \"drop\": when: it is over";
    let past = past(&over, NOW_MS).map_err(|e| e.to_string());
    assert_eq!(past, Err(said.into()));
}

#[test]
fn the_newest_number_wins_and_pins_stay() {
    let old = calendar(&[window(&[]), window(&[("name", "\"other\"")])]);
    let mut new = calendar(&[window(&[("tasks", "5")])]);
    new.number = 4;
    let first = taken(&old, None);
    assert_eq!(CalendarRecord::take(Some(&first), &old), Taken::Same);
    let pin = &calendar(&[window(&[("name", "\"pin\"")])]).windows[0];
    let pinned = CalendarRecord::pin(Some(&first), pin).expect("known");
    let pinned = pinned.expect("changed");
    let again = CalendarRecord::pin(Some(&pinned), pin);
    assert_eq!(again, Ok(None), "pinned already");
    let unpinned = pinned.unpin("other").expect("known").expect("changed");
    let again = CalendarRecord::take(Some(&unpinned), &old);
    assert_eq!(again, Taken::Same, "not put back");
    let second = taken(&new, Some(&unpinned));
    assert_eq!(second.window("drop").map(|w| w.tasks), Some(5));
    assert!(second.window("pin").is_some() && second.window("other").is_none());
    // During a rolling restart a controller may still have the old file.
    assert_eq!(CalendarRecord::take(Some(&second), &old), Taken::Older);
    new.windows[0].tasks = 6;
    assert_eq!(CalendarRecord::take(Some(&second), &new), Taken::Differs);
    assert_eq!(second.unpin("none"), Ok(None));
}

#[test]
fn a_record_that_is_too_large_is_refused() {
    let many: Vec<String> = (0..40)
        .map(|n| window(&[("name", &format!("\"window-{n}\""))]))
        .collect();
    let error = taken(&calendar(&many), None).fits(4);
    let error = error.expect_err("more than 4 KiB").to_string();
    assert!(error.starts_with("calendar: 40 windows take "), "{error}");
    assert!(error.contains("holds 4 KiB"), "{error}");
}

/// Records of a later program version may have an unknown format. The program must treat them
/// neither as absent nor as its own.
#[test]
fn a_later_versions_records_are_left_alone() {
    let later = CalendarRecord::read(r#"{"v":2,"n":[1],"w":{}}"#).expect("its version");
    assert!(!later.known());
    let file = calendar(&[window(&[])]);
    assert_eq!(CalendarRecord::take(Some(&later), &file), Taken::Later);
    assert!(CalendarRecord::pin(Some(&later), &file.windows[0]).is_err());
    assert!(later.unpin("drop").is_err());
    let later = WindowRecord::read(r#"{"v":2,"s":"draining"}"#).expect("its version");
    assert!(!later.known());
    assert_eq!(WindowRecord::read(r#"{"v":1,"s":"draining"}"#), None);
    // The reader ignores fields that a later version adds without raising the format version.
    let added = r#"{"v":1,"e":5000,"s":"held","t":1,"n":7,"new":[1]}"#;
    let read = WindowRecord::read(added).expect("known");
    assert_eq!((read.step, read.tasks, read.known()), (Step::Held, 7, true));
    let text = serde_json::to_string(&read).expect("json");
    assert_eq!(text, r#"{"v":1,"e":5000,"s":"held","t":1,"n":7}"#);
    let name = key("weekend-drop", NOW_MS);
    assert_eq!(name, "h/win/weekend-drop@1796083200");
    let key = OccurrenceKey {
        window: "weekend-drop",
        start_ms: NOW_MS,
    };
    assert_eq!(parse_key(&name), Some(key));
}

#[test]
fn operators_see_a_table() {
    let mut windows = calendar(&[window(&[]), window(&[("name", "\"bake\"")])]).windows;
    let entry = |window, pinned| Entry { window, pinned };
    let (bake, drop) = (windows.remove(1), windows.remove(0));
    let start_ms = drop.next(NOW_MS).expect("it happens").start_ms;
    let warming = r#"{"v":1,"e":1796476000000,"s":"warming","t":0,"n":10}"#;
    let records = BTreeMap::from([(start_ms, WindowRecord::read(warming).expect("a record"))]);
    let seen = Seen {
        asked: 4,
        ready: 2,
        used: 0,
        waiting: 0,
        fits: 100,
        gives_way_to: None,
        idle_s: 0.0,
        boot_s: 30.0,
        slow_boot_s: 60.0,
        fetch_s: 10.0,
        rent_per_s: 5.0,
        refused: Some(Refused::Capacity),
    };
    let clock = Clock {
        now_ms: start_ms - 60_000,
        off_ms: 500,
    };
    let row = |entry: Entry, records| {
        let whole = steps(Some(&entry.window), records, &seen, clock);
        let name = entry.window.name.clone();
        rows(&name, Some(&entry), records, &whole, &seen, NOW_MS)
    };
    let shown = CalendarShown {
        number: 3,
        owner: Some("hinge-2".into()),
        windows: [
            row(entry(bake, false), &BTreeMap::new()),
            row(entry(drop, true), &records),
        ]
        .concat(),
    };
    let expected = "\
calendar 3, steps taken by hinge-2
window         team  begins                ends                  step     tasks  hold  asked  ready  used
bake           deck  2026-12-05T12:00:00Z  2026-12-05T13:00:00Z  -        10     0     0      0      0     not near
drop (pinned)  deck  2026-12-05T12:00:00Z  2026-12-05T13:06:40Z  warming  10     10    4      2      0     warming: the cloud has no more
";
    assert_eq!(render(&shown), expected);
}
