//! The history checker: a good history passes, and for every rule a bad one is
//! rejected with that rule's name.

use std::time::Duration;

use serde_json::{json, Value};
use sorrelhinge_emulators::history::{
    check, Amounts, Answer, AttemptId, Entry, Event, History, JobPhase, Limits, Machine,
    MachineType, Reason, Request, RequestId, Site, TaskName, Team,
};

const CANCEL_S: f64 = 40.0;

fn amounts(cpus: f64) -> Amounts {
    Amounts {
        cpus,
        cards: 0.0,
        ram_gb: cpus,
    }
}

/// One machine type with 4 CPUs in two zones; a team with 8 CPUs, one without limit.
fn site() -> Site {
    let team = |name: &str, cpus_max| Team {
        name: name.into(),
        cpus_max,
        cards_max: None,
    };
    Site {
        teams: vec![team("red", Some(8.0)), team("guest", None)],
        types: vec![MachineType {
            name: "t".into(),
            free_capacity: amounts(4.0),
            zones: vec!["za".into(), "zb".into()],
        }],
    }
}

fn job(uid: &str, more: Value) -> Value {
    let mut job = json!({"uid": uid, "jobclass": "c", "crew": "red", "shape": "sweep",
        "rank": "normal", "pieces": 1, "cpus": 1.0, "cards": 0.0, "ram_gb": 1.0, "bundle": "i",
        "pull_gb": 0.1, "together": false, "spread": false, "loaners": false, "guess_s": 1.0,
        "mark_s": 0.0, "stash_s": 0.0});
    for (field, value) in more.as_object().expect("an object") {
        job[field] = value.clone();
    }
    job
}

fn attempt(task_name: &str, attempt: u64, machine: &str) -> AttemptId {
    AttemptId {
        task: TaskName::parse(task_name).expect("a task"),
        attempt,
        machine: machine.into(),
    }
}

const PENDING: Answer = Answer::Status(200, Some(JobPhase::Pending));
const DONE: Answer = Answer::Status(200, Some(JobPhase::Done));
const CANCELLED: Answer = Answer::Status(200, Some(JobPhase::Cancelled));
const UNKNOWN: Answer = Answer::Status(404, None);
const REFUSED: Answer = Answer::Status(503, None);

/// Writes a history, times in seconds.
struct Writer(History);

impl Writer {
    /// Two machines in zone `za`, one in `zb`, one spot machine there, and a job that
    /// runs its task to its end: good by itself.
    fn begin() -> Self {
        let mut writer = Self(History {
            site: site(),
            entries: Vec::new(),
            end: Duration::from_secs(400),
        });
        for (id, zone, spot) in [
            ("a-1", "za", false),
            ("a-2", "za", false),
            ("b-1", "zb", false),
            ("b-2", "zb", true),
        ] {
            writer.at(
                0.0,
                Event::MachineUp(Machine {
                    id: id.into(),
                    build: "t".into(),
                    zone: zone.into(),
                    spot,
                    free_capacity: amounts(4.0),
                }),
            );
        }
        writer.submit(1.0, "run-1", json!({}));
        writer.start(2.0, "run-1/0", 1, "a-1");
        writer.left(3.0, "run-1/0", 1, "a-1", Reason::Done);
        writer.poll(4.0, 4.1, 1, "run-1", DONE);
        writer
    }

    fn at(&mut self, at_s: f64, event: Event) {
        let at = Duration::from_secs_f64(at_s);
        self.0.entries.push(Entry { at, event });
    }

    fn exchange(&mut self, asked_s: f64, told_s: f64, node: usize, what: Request, answer: Answer) {
        let request = RequestId(self.0.entries.len());
        let asked = Event::Asked {
            request,
            node,
            what,
        };
        self.at(asked_s, asked);
        self.at(told_s, Event::Answered { request, answer });
    }

    fn send(&mut self, at_s: f64, uid: &str, more: Value, answer: Answer) {
        let body = job(uid, more);
        let uid = uid.into();
        self.exchange(at_s, at_s + 0.1, 0, Request::Submit { uid, body }, answer);
    }

    fn submit(&mut self, at_s: f64, uid: &str, more: Value) {
        let accepted = Answer::Status(201, Some(JobPhase::Pending));
        self.send(at_s, uid, more, accepted);
    }

    fn poll(&mut self, asked_s: f64, told_s: f64, node: usize, uid: &str, answer: Answer) {
        let uid = uid.into();
        self.exchange(asked_s, told_s, node, Request::Poll { uid }, answer);
    }

    fn cancel(&mut self, at_s: f64, uid: &str, answer: Answer) {
        let uid = uid.into();
        self.exchange(at_s, at_s + 0.1, 0, Request::Cancel { uid }, answer);
    }

    fn start(&mut self, at_s: f64, task_name: &str, number: u64, machine: &str) {
        self.at(at_s, Event::Started(attempt(task_name, number, machine)));
    }

    fn left(&mut self, at_s: f64, task_name: &str, number: u64, machine: &str, reason: Reason) {
        let attempt = attempt(task_name, number, machine);
        self.at(at_s, Event::Left(attempt, reason));
    }

    /// The names of the rules that the history breaks, each once.
    fn broken(&self) -> Vec<&'static str> {
        let limits = Limits::new(Duration::from_secs_f64(CANCEL_S));
        self.broken_by(&limits)
    }

    fn broken_by(&self, limits: &Limits) -> Vec<&'static str> {
        let violations = check(&self.0, limits);
        let mut names: Vec<&str> = violations.iter().map(|b| b.rule.name()).collect();
        names.sort_unstable();
        names.dedup();
        names
    }
}

/// All that is allowed, up to the bounds.
#[test]
fn a_good_history_passes() {
    let mut h = Writer::begin();
    // Users ask everywhere; questions that overlap may be answered in any order.
    h.submit(10.0, "run-2", json!({"pieces": 2, "spread": true}));
    h.poll(10.05, 10.2, 1, "run-2", UNKNOWN);
    h.start(11.0, "run-2/0", 1, "a-1");
    h.start(11.0, "run-2/1", 1, "b-1");
    // Stopped, and started elsewhere afterwards.
    h.left(12.0, "run-2/0", 1, "a-1", Reason::Ended);
    h.start(12.0, "run-2/0", 2, "a-2");
    h.cancel(20.0, "run-2", CANCELLED);
    h.poll(20.05, 20.15, 2, "run-2", PENDING);
    h.send(21.0, "run-2", json!({"pieces": "two"}), CANCELLED);
    h.left(20.1 + CANCEL_S, "run-2/0", 2, "a-2", Reason::Ended);
    h.left(30.0, "run-2/1", 1, "b-1", Reason::Ended);
    // Refused as they must be.
    h.send(
        22.0,
        "run-3",
        json!({"crew": "nobody"}),
        Answer::Status(422, None),
    );
    h.send(
        22.0,
        "run-4",
        json!({"cpus": null}),
        Answer::Status(400, None),
    );
    h.poll(23.0, 23.1, 1, "run-9", UNKNOWN);
    // A team at its limit, so its next job waits.
    h.submit(24.0, "run-5", json!({"pieces": 2, "cpus": 3.5}));
    h.start(31.0, "run-5/0", 1, "a-1");
    h.start(31.0, "run-5/1", 1, "b-1");
    h.submit(26.0, "run-6", json!({"cpus": 1.5}));
    h.at(30.0, Event::TroublesOver);
    h.poll(30.0, 31.0, 0, "run-6", REFUSED);
    h.poll(100.0, 104.9, 0, "run-6", Answer::Nothing);
    h.poll(105.0, 105.1, 0, "run-6", PENDING);
    assert_eq!(h.broken(), [] as [&str; 0]);
}

#[test]
fn a_task_on_two_machines_is_rejected() {
    let mut h = Writer::begin();
    h.submit(10.0, "run-2", json!({}));
    h.start(11.0, "run-2/0", 1, "a-1");
    h.start(12.0, "run-2/0", 2, "a-2");
    assert_eq!(h.broken(), ["ran_twice"]);
}

#[test]
fn a_team_over_its_limit_is_rejected() {
    let mut h = Writer::begin();
    h.submit(10.0, "run-2", json!({"pieces": 3, "cpus": 3.0}));
    for (index, machine) in ["a-1", "a-2", "b-1"].into_iter().enumerate() {
        h.start(11.0, &format!("run-2/{index}"), 1, machine);
    }
    assert_eq!(h.broken(), ["quota"]);
    // No limit, no breach.
    let mut h = Writer::begin();
    h.submit(
        10.0,
        "run-2",
        json!({"pieces": 3, "cpus": 3.0, "crew": "guest"}),
    );
    for (index, machine) in ["a-1", "a-2", "b-1"].into_iter().enumerate() {
        h.start(11.0, &format!("run-2/{index}"), 1, machine);
    }
    assert_eq!(h.broken(), [] as [&str; 0]);
}

#[test]
fn a_task_in_the_wrong_place_is_rejected() {
    let cases = [
        (json!({"builds": ["t", "u"], "rack": "zb"}), vec!["a-1"]),
        (json!({}), vec!["b-2"]),
        (json!({"pieces": 2, "together": true}), vec!["a-1", "b-1"]),
        (json!({"pieces": 2, "spread": true}), vec!["a-1", "a-2"]),
    ];
    for (more, machines) in cases {
        let mut h = Writer::begin();
        h.submit(10.0, "run-2", more.clone());
        for (index, machine) in machines.into_iter().enumerate() {
            h.start(11.0, &format!("run-2/{index}"), 1, machine);
        }
        assert_eq!(h.broken(), ["wrong_place"], "{more}");
    }
    let mut h = Writer::begin();
    h.0.site.types.push(MachineType {
        name: "u".into(),
        ..h.0.site.types[0].clone()
    });
    h.submit(10.0, "run-2", json!({"builds": ["u"]}));
    h.start(11.0, "run-2/0", 1, "a-1");
    assert_eq!(h.broken(), ["wrong_place"], "a type that is not allowed");
}

#[test]
fn a_cancelled_job_that_runs_on_is_rejected() {
    let mut h = Writer::begin();
    h.submit(10.0, "run-2", json!({}));
    h.start(11.0, "run-2/0", 1, "a-1");
    h.cancel(20.0, "run-2", CANCELLED);
    h.left(20.2 + CANCEL_S, "run-2/0", 1, "a-1", Reason::Ended);
    assert_eq!(h.broken(), ["ran_cancelled"]);
    // One that never leaves, and whose user learnt of it by a poll.
    let mut h = Writer::begin();
    h.submit(10.0, "run-2", json!({}));
    h.start(11.0, "run-2/0", 1, "a-1");
    h.cancel(20.0, "run-2", Answer::Nothing);
    h.poll(22.0, 22.1, 1, "run-2", CANCELLED);
    assert_eq!(h.broken(), ["ran_cancelled"]);
    // Its machine's end is its own.
    h.at(30.0, Event::MachineGone("a-1".into()));
    assert_eq!(h.broken(), [] as [&str; 0]);
}

#[test]
fn starts_after_a_confirmed_cancellation_are_counted() {
    let mut h = Writer::begin();
    h.submit(10.0, "run-2", json!({"pieces": 2}));
    h.cancel(20.0, "run-2", CANCELLED);
    for (index, at_s) in [21.0, 22.0].into_iter().enumerate() {
        let task_name = format!("run-2/{index}");
        h.start(at_s, &task_name, 1, "a-1");
        h.left(at_s + 1.0, &task_name, 1, "a-1", Reason::Ended);
    }
    assert_eq!(h.broken(), ["started_cancelled"]);
    let limits = Limits::new(Duration::from_secs_f64(CANCEL_S));
    for (allowed, expected) in [(1, vec!["started_cancelled"]), (2, vec![])] {
        let limits = Limits {
            starts_after_cancel: allowed,
            ..limits
        };
        assert_eq!(h.broken_by(&limits), expected);
    }
}

#[test]
fn a_forgotten_job_is_rejected() {
    for (more, answer) in [
        (json!({}), Answer::Status(400, None)),
        (json!({}), Answer::Status(422, None)),
    ] {
        let mut h = Writer::begin();
        h.submit(10.0, "run-2", json!({}));
        h.send(12.0, "run-2", more, answer);
        assert_eq!(h.broken(), ["forgotten"], "{answer:?}");
    }
    let mut h = Writer::begin();
    h.submit(10.0, "run-2", json!({}));
    h.poll(12.0, 12.1, 0, "run-2", UNKNOWN);
    assert_eq!(h.broken(), ["forgotten"]);
    // All polls fail while most others are answered.
    let failing = |others: Answer| {
        let mut h = Writer::begin();
        h.submit(10.0, "run-2", json!({}));
        h.submit(10.0, "run-3", json!({}));
        for turn in 0..20 {
            let at_s = 20.0 + 5.0 * f64::from(turn);
            h.poll(at_s, at_s + 2.0, 0, "run-2", Answer::Nothing);
            h.poll(at_s, at_s + 0.1, 0, "run-3", others);
        }
        h.broken()
    };
    assert_eq!(failing(PENDING), ["forgotten"]);
    assert_eq!(failing(REFUSED), [] as [&str; 0], "all fail alike");
}

#[test]
fn a_job_that_is_unanswered_once_troubles_are_over_is_rejected() {
    let polls = |over: bool| {
        let mut h = Writer::begin();
        h.submit(10.0, "run-2", json!({}));
        h.start(11.0, "run-2/0", 1, "a-1");
        if over {
            h.at(19.0, Event::TroublesOver);
        }
        for turn in 0..16 {
            let at_s = 20.0 + 5.0 * f64::from(turn);
            h.poll(at_s, at_s + 2.0, 0, "run-2", REFUSED);
        }
        h.broken()
    };
    assert_eq!(polls(true), ["unanswered"]);
    assert_eq!(polls(false), [] as [&str; 0], "troubles go on");
}

#[test]
fn an_invented_job_is_rejected() {
    let mut h = Writer::begin();
    h.poll(10.0, 10.1, 0, "run-2", PENDING);
    assert_eq!(h.broken(), ["invented"]);
    let mut h = Writer::begin();
    h.poll(10.0, 10.1, 0, "run-2", PENDING);
    h.submit(11.0, "run-2", json!({}));
    assert_eq!(h.broken(), ["invented"], "submitted only later");
}

#[test]
fn a_job_called_done_too_early_is_rejected() {
    let unfinished = || {
        let mut h = Writer::begin();
        h.submit(10.0, "run-2", json!({"pieces": 2}));
        h.start(11.0, "run-2/0", 1, "a-1");
        h.start(11.0, "run-2/1", 1, "a-1");
        h.left(12.0, "run-2/0", 1, "a-1", Reason::Done);
        h.left(20.0, "run-2/1", 1, "a-1", Reason::Done);
        h
    };
    let mut h = unfinished();
    h.poll(13.0, 13.1, 0, "run-2", DONE);
    assert_eq!(h.broken(), ["not_done"]);
    let mut h = unfinished();
    let phase = JobPhase::Done;
    let uid = "run-2".to_owned();
    h.at(13.0, Event::Recorded { uid, phase });
    assert_eq!(h.broken(), ["not_done"], "the record says so");
    let mut h = unfinished();
    h.poll(21.0, 21.1, 0, "run-2", DONE);
    assert_eq!(h.broken(), [] as [&str; 0]);
}

#[test]
fn a_final_phase_that_changes_is_rejected() {
    let mut h = Writer::begin();
    h.poll(5.0, 5.1, 1, "run-1", PENDING);
    assert_eq!(h.broken(), ["went_back"], "by the same node");
    let mut h = Writer::begin();
    h.cancel(4.05, "run-1", CANCELLED);
    assert_eq!(
        h.broken(),
        ["went_back"],
        "two final phases, overlapping or not"
    );
    let mut h = Writer::begin();
    h.submit(10.0, "run-2", json!({}));
    h.poll(11.0, 11.1, 0, "run-2", CANCELLED);
    assert_eq!(h.broken(), ["went_back"], "nobody cancelled it");
    let mut h = Writer::begin();
    for (at_s, phase) in [(5.0, JobPhase::Done), (6.0, JobPhase::Cancelled)] {
        let uid = "run-1".to_owned();
        h.at(at_s, Event::Recorded { uid, phase });
    }
    assert_eq!(h.broken(), ["went_back"], "a record");
}

/// By real order: only a question sent after the newer answer had arrived counts.
#[test]
fn an_older_answer_of_another_node_is_rejected() {
    let asked = |asked_s: f64, answer: Answer| {
        let mut h = Writer::begin();
        h.poll(asked_s, 6.0, 2, "run-1", answer);
        h.broken()
    };
    assert_eq!(asked(4.2, PENDING), ["older_answer", "went_back"]);
    assert_eq!(asked(4.2, UNKNOWN), ["forgotten", "older_answer"]);
    assert_eq!(asked(4.05, PENDING), [] as [&str; 0], "they overlap");
    assert_eq!(asked(4.2, REFUSED), [] as [&str; 0], "no answer about it");
}

#[test]
fn a_day_without_a_start_is_rejected() {
    let mut h = Writer::begin();
    h.0.entries.truncate(4);
    assert_eq!(h.broken(), ["nothing_ran"]);
}

#[test]
fn a_job_that_waits_beside_free_capacity_is_rejected() {
    let waiting = |more: Value, out: &[&str], busy_until_s: f64| {
        let mut h = Writer::begin();
        h.submit(10.0, "run-2", more);
        h.at(20.0, Event::TroublesOver);
        for id in out {
            h.at(21.0, Event::MachineOut((*id).into()));
        }
        // Its team uses all that it may until then.
        h.submit(10.0, "run-3", json!({"pieces": 2, "cpus": 4.0}));
        h.start(15.0, "run-3/0", 1, "a-1");
        h.start(15.0, "run-3/1", 1, "a-2");
        for (index, machine) in ["a-1", "a-2"].into_iter().enumerate() {
            let task_name = format!("run-3/{index}");
            h.left(busy_until_s, &task_name, 1, machine, Reason::Done);
        }
        h.broken()
    };
    assert_eq!(waiting(json!({}), &[], 300.0), ["left_waiting"]);
    let at_limit = waiting(json!({}), &[], 311.0);
    assert_eq!(at_limit, [] as [&str; 0], "its team was at its limit");
    let only_in_zb = waiting(json!({"rack": "zb"}), &["b-1"], 30.0);
    assert_eq!(only_in_zb, [] as [&str; 0], "no machine fits");
    let other_zone = waiting(json!({"rack": "za"}), &["b-1"], 30.0);
    assert_eq!(other_zone, ["left_waiting"]);
}

#[test]
fn a_job_that_must_be_refused_and_is_accepted_is_rejected() {
    for wrong in [
        json!({"crew": "nobody"}),
        json!({"cpus": 5.0, "ram_gb": 5.0}),
        json!({"rack": "zz"}),
        json!({"builds": ["x"]}),
        json!({"shape": "standing", "pieces": 9}),
        json!({"pieces": 0}),
        json!({"pieces": null}),
        json!({"guess_s": null}),
        json!({"together": "no"}),
        json!({"rank": "urgent"}),
        json!({"bundle": ""}),
    ] {
        let mut h = Writer::begin();
        h.submit(10.0, "run-2", wrong.clone());
        assert_eq!(h.broken(), ["wrongly_accepted"], "{wrong}");
        // Known by a good submission: 200 whatever the repeat looks like.
        let mut h = Writer::begin();
        h.submit(10.0, "run-2", json!({}));
        h.send(11.0, "run-2", wrong, PENDING);
        assert_eq!(h.broken(), [] as [&str; 0]);
    }
}

/// A job that waits starts once those that it needs are done, and is cancelled with them.
#[test]
fn a_pipeline_in_order_passes() {
    let mut h = Writer::begin();
    h.submit(10.0, "run-2", json!({"waits_on": ["run-1"]}));
    h.start(11.0, "run-2/0", 1, "a-1");
    h.submit(12.0, "run-3", json!({"waits_on": ["run-2", "run-1"]}));
    h.submit(13.0, "run-4", json!({"waits_on": ["run-3"]}));
    h.cancel(14.0, "run-2", CANCELLED);
    h.left(15.0, "run-2/0", 1, "a-1", Reason::Ended);
    h.poll(16.0, 16.1, 1, "run-3", CANCELLED);
    h.poll(14.0 + CANCEL_S, 14.0 + CANCEL_S, 1, "run-4", PENDING);
    h.poll(60.0, 60.1, 2, "run-4", CANCELLED);
    assert_eq!(h.broken(), [] as [&str; 0]);
}

#[test]
fn a_task_that_starts_before_the_jobs_that_it_needs_is_rejected() {
    let mut h = Writer::begin();
    h.submit(10.0, "run-2", json!({"pieces": 2}));
    h.submit(10.5, "run-3", json!({"waits_on": ["run-1", "run-2"]}));
    h.start(11.0, "run-2/0", 1, "a-1");
    h.start(11.0, "run-2/1", 1, "a-1");
    h.left(12.0, "run-2/0", 1, "a-1", Reason::Done);
    h.start(13.0, "run-3/0", 1, "a-2");
    h.left(14.0, "run-2/1", 1, "a-1", Reason::Done);
    h.left(15.0, "run-3/0", 1, "a-2", Reason::Done);
    assert_eq!(h.broken(), ["too_early"]);
}

#[test]
fn a_job_that_is_called_open_long_after_one_before_it_was_cancelled_is_rejected() {
    for (needs, phase) in [(["run-2"], PENDING), (["run-3"], PENDING)] {
        let mut h = Writer::begin();
        h.submit(10.0, "run-2", json!({}));
        h.submit(11.0, "run-3", json!({"waits_on": ["run-2"]}));
        h.submit(12.0, "run-4", json!({"waits_on": needs}));
        h.cancel(13.0, "run-2", CANCELLED);
        h.poll(14.0 + CANCEL_S, 14.1 + CANCEL_S, 1, "run-4", phase);
        assert_eq!(h.broken(), ["orphaned"]);
    }
}
