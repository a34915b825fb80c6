//! Bad input of users, at real controllers on loopback: what is malformed is 400, what
//! can never run is 422, a known job is never refused, and no odd request ends a
//! process or costs another job its answer. Each case is asked of a controller that
//! is served and of one that the state service refuses, which passes it on.

#[path = "loopback/leader.rs"]
mod leader;
mod loopback;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use serde_json::{json, Value};
use sorrelhinge_emulators::lines::LinkFault;
use sorrelhinge_emulators::users::{send_body, send_bytes};
use sorrelhinge_emulators::{ask, run, HttpResponse, Plan};
use tokio::time::sleep;

use self::leader::start_led;

/// PROTOCOL: a request body may be at most 64 KiB.
const MAX_BODY_BYTES: usize = 64 << 10;

fn job(uid: &str) -> Value {
    json!({"uid": uid, "jobclass": "bake", "crew": "crew", "shape": "sweep",
        "rank": "normal", "pieces": 1, "cpus": 1.0, "cards": 0.0, "ram_gb": 1.0,
        "bundle": "img-1", "pull_gb": 0.1, "builds": null, "rack": null, "together": false,
        "spread": false, "loaners": false, "guess_s": 600.0, "mark_s": 0.0, "stash_s": 0.0,
        "due_s": null})
}

/// A field and a value that it must not have.
type InvalidField = (&'static str, Value);

/// Each of the fields with each of the values.
fn each_with(fields: &[&'static str], wrong: &[Value]) -> Vec<InvalidField> {
    let pairs = fields
        .iter()
        .flat_map(|field| wrong.iter().map(|value| (*field, value.clone())));
    pairs.collect()
}

/// Fields that are names, and what is no name.
fn invalid_names() -> Vec<InvalidField> {
    let names = ["jobclass", "crew", "bundle"];
    let long = json!("x".repeat(300));
    let mut all = each_with(
        &names,
        &[json!(""), json!(7), json!(null), json!(["x"]), long],
    );
    all.extend(each_with(
        &["shape", "rank"],
        &[json!(""), json!("other"), json!(null), json!(1), json!({})],
    ));
    all.extend(each_with(&["rack"], &[json!(""), json!(1), json!(["za"])]));
    all
}

/// Fields that are numbers, and what is no number, or out of bounds.
fn invalid_numbers() -> Vec<InvalidField> {
    let mut all = each_with(
        &["pieces"],
        &[
            json!(0),
            json!(-1),
            json!(1.5),
            json!(100_001),
            json!(u64::MAX),
            json!(1e300),
            json!("1"),
            json!(null),
        ],
    );
    all.extend(each_with(
        &[
            "cpus", "cards", "ram_gb", "pull_gb", "guess_s", "mark_s", "stash_s",
        ],
        &[
            json!(-0.5),
            json!(1e300),
            json!("1.0"),
            json!("NaN"),
            json!(null),
            json!(true),
            json!([1.0]),
        ],
    ));
    let no_deadlines = [json!(-0.5), json!(1e300), json!("soon"), json!(false)];
    all.extend(each_with(&["due_s"], &no_deadlines));
    all
}

/// All fields with what they must not have.
fn invalid_fields() -> Vec<InvalidField> {
    let mut all = invalid_names();
    all.extend(invalid_numbers());
    all.extend(each_with(
        &["together", "spread", "loaners"],
        &[json!(0), json!("true"), json!(null), json!([])],
    ));
    all.extend(each_with(
        &["builds"],
        &[
            json!([]),
            json!("t"),
            json!([1]),
            json!([""]),
            json!([null]),
            json!({"t": 1}),
        ],
    ));
    all
}

/// Fields that may be null may be omitted (PROTOCOL); all others may not.
const REQUIRED: [&str; 17] = [
    "jobclass", "crew", "shape", "rank", "pieces", "cpus", "cards", "ram_gb", "bundle", "pull_gb",
    "together", "spread", "loaners", "guess_s", "mark_s", "stash_s", "uid",
];

/// Submissions that are malformed though their uid may be known, with what is wrong.
fn malformed(uid: &str) -> Vec<(String, Value)> {
    let mut all = Vec::new();
    for (field, wrong) in invalid_fields() {
        let mut body = job(uid);
        let what: String = format!("{field} = {wrong}").chars().take(60).collect();
        body[field] = wrong;
        all.push((what, body));
    }
    for field in REQUIRED.into_iter().filter(|f| *f != "uid") {
        let mut body = job(uid);
        body.as_object_mut().expect("an object").remove(field);
        all.push((format!("{field} is missing"), body));
    }
    // Within the limits of each name, yet over that of a record.
    let mut body = job(uid);
    let long = "\u{1}".repeat(200);
    body["builds"] = json!(std::iter::once("t".to_owned())
        .chain((0..31).map(|_| long.clone()))
        .collect::<Vec<_>>());
    all.push(("names over a record's limit".into(), body));
    all
}

/// Submissions without a valid uid.
fn nameless() -> Vec<(String, Value)> {
    let long = format!("run-{}", "0".repeat(300));
    [
        json!(""),
        json!("run-"),
        json!("job-000001"),
        json!("run-00/01"),
        json!("run-0 1"),
        json!("run-\u{0}"),
        json!(long),
        json!(412),
        json!(null),
        json!(["run-000001"]),
    ]
    .into_iter()
    .map(|uid| {
        let mut body = job("");
        let what = format!("uid = {uid}").chars().take(60).collect();
        body["uid"] = uid;
        (what, body)
    })
    .collect()
}

/// Submissions of what can never run.
fn impossible(uid: &str) -> Vec<(String, Value)> {
    [
        json!({"crew": "nobody"}),
        // Machines have 4 CPUs, no GPU and 16 GB.
        json!({"cpus": 4.1}),
        json!({"cards": 1.0}),
        json!({"ram_gb": 16.1}),
        json!({"builds": ["other"]}),
        json!({"rack": "zd"}),
        json!({"builds": ["t"], "rack": "zd"}),
        // The limit is 400 CPUs: for a service all replicas count.
        json!({"shape": "standing", "pieces": 101, "cpus": 4.0}),
        json!({"shape": "standing", "pieces": 100_000}),
        json!({"crew": "crew", "cpus": 401.0}),
    ]
    .into_iter()
    .map(|more| (more.to_string(), with(job(uid), &more)))
    .collect()
}

/// Submissions at the limit, which can run.
fn possible(uid: &str) -> Vec<(String, Value)> {
    [
        json!({"cpus": 4.0, "ram_gb": 16.0}),
        json!({"shape": "standing", "pieces": 100, "cpus": 4.0}),
        // Of an array one task counts.
        json!({"pieces": 101, "cpus": 4.0}),
        json!({"builds": ["other", "t"], "rack": "zc"}),
        json!({"crew": "guest", "unknown": {"field": [1]}}),
    ]
    .into_iter()
    .enumerate()
    .map(|(n, more)| (more.to_string(), with(job(&format!("{uid}{n}")), &more)))
    .collect()
}

fn with(mut body: Value, more: &Value) -> Value {
    for (key, value) in more.as_object().expect("an object") {
        body[key] = value.clone();
    }
    body
}

/// Bodies that are no JSON object.
fn no_objects() -> Vec<Bytes> {
    let deep = "[".repeat(30_000);
    let deep_object = "{\"uid\":".repeat(5_000);
    let large = json!({"uid": "run-large", "text": "x".repeat(MAX_BODY_BYTES)}).to_string();
    let out_of_range = job("run-range").to_string().replace("600.0", "1e999");
    let not_a_number = job("run-nan").to_string().replace("600.0", "NaN");
    let huge = format!(
        "{{\"uid\":\"run-huge\",\"text\":\"{}\"}}",
        "x".repeat(4 << 20)
    );
    [
        "",
        "null",
        "[]",
        "7",
        "\"run-000001\"",
        "{",
        "{\"uid\":\"run-000001\"",
        "{\"uid\":\"run-000001\"}}",
        "not json",
        "\u{0}",
        &deep,
        &deep_object,
        &large,
        &out_of_range,
        &not_a_number,
        &huge,
    ]
    .iter()
    .map(|text| Bytes::from(text.to_string()))
    .chain([Bytes::from_static(b"\xff\xfe{\"uid\":1}")])
    .collect()
}

/// Asks until the answer is another than "come back": a controller that the state
/// service refuses first has to learn that the others are served.
async fn submit(to: SocketAddr, body: Bytes) -> HttpResponse {
    let end = Instant::now() + Duration::from_secs(30);
    loop {
        let told = send_body(to, "/v1/jobs", body.clone()).await;
        if let Some(told) = told.filter(|response| response.status < 500 && response.status != 429)
        {
            return told;
        }
        let text = String::from_utf8_lossy(&body);
        assert!(Instant::now() < end, "no answer: {text:.200}");
        sleep(Duration::from_millis(100)).await;
    }
}

async fn ask_until(to: SocketAddr, method: Method, path: &str) -> HttpResponse {
    let end = Instant::now() + Duration::from_secs(30);
    loop {
        let told = ask(to, method.clone(), path, &Value::Null).await;
        if let Some(told) = told.filter(|response| response.status < 500 && response.status != 429)
        {
            return told;
        }
        assert!(Instant::now() < end, "no answer: {path}");
        sleep(Duration::from_millis(100)).await;
    }
}

fn text(body: &Value) -> Bytes {
    Bytes::from(body.to_string())
}

/// All odd submissions of unknown jobs, and that none of them was accepted.
async fn refuses_unknown(to: SocketAddr, tag: &str) {
    let uid = format!("run-x{tag}");
    for body in no_objects() {
        let HttpResponse { status, body: told } = submit(to, body.clone()).await;
        let text = String::from_utf8_lossy(&body);
        assert_eq!(status, 400, "{tag}: {text:.200}: {told}");
    }
    for (what, body) in nameless().into_iter().chain(malformed(&uid)) {
        let HttpResponse { status, body: told } = submit(to, text(&body)).await;
        assert_eq!(status, 400, "{tag}: {what}: {told}");
    }
    for (what, body) in impossible(&uid) {
        let HttpResponse { status, body: told } = submit(to, text(&body)).await;
        assert_eq!(status, 422, "{tag}: {what}: {told}");
    }
    for path in ["run-x", "nothing", "run-%00", "run-\u{7e}", "withdraw"] {
        let path = format!("/v1/jobs/{path}");
        let HttpResponse { status, body: told } = ask_until(to, Method::GET, &path).await;
        assert_eq!(status, 404, "{tag}: {path}: {told}");
        let cancel = format!("{path}/withdraw");
        let HttpResponse { status, body: told } = ask_until(to, Method::POST, &cancel).await;
        assert_eq!(status, 404, "{tag}: {cancel}: {told}");
    }
    let HttpResponse { status, .. } = ask_until(to, Method::GET, &format!("/v1/jobs/{uid}")).await;
    assert_eq!(status, 404, "{tag}: none of them was accepted");
    for (what, body) in possible(&uid) {
        let HttpResponse { status, body: told } = submit(to, text(&body)).await;
        assert!(matches!(status, 200 | 201), "{tag}: {what}: {told}");
        let path = format!("/v1/jobs/{}/withdraw", body["uid"].as_str().expect("a uid"));
        let HttpResponse { status, body: told } = ask_until(to, Method::POST, &path).await;
        assert_eq!((status, &told["phase"]), (200, &json!("cancelled")));
    }
}

/// A job that is known is answered 200 with how it stands, whatever its repeat is.
async fn knows(to: SocketAddr, uid: &str, phases: &[&str]) {
    let repeats = malformed(uid).into_iter().chain(impossible(uid));
    for (what, body) in repeats {
        let HttpResponse { status, body: told } = submit(to, text(&body)).await;
        assert_eq!(status, 200, "{what}: {told}");
        let phase = told["phase"].as_str().unwrap_or_default();
        assert!(phases.contains(&phase), "{what}: {told}");
    }
    let only_uid = json!({ "uid": uid });
    let HttpResponse { status, body: told } = submit(to, text(&only_uid)).await;
    assert_eq!(status, 200, "{told}");
}

/// Requests that are odd in another way, with what may be answered; 0: none.
fn odd_requests() -> Vec<(String, Vec<u16>)> {
    let plain = |line: &str| format!("{line} HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n");
    let mut all: Vec<(String, Vec<u16>)> = [
        ("GET /", 404),
        ("GET /v1/jobs", 405),
        ("DELETE /v1/jobs/run-done", 405),
        ("PUT /v1/jobs/run-done", 405),
        ("POST /v1/jobs/run-done", 405),
        ("GET /v1/jobs/run-done/withdraw", 405),
        ("DELETE /v1/jobs/run-done/withdraw", 405),
        ("GET /v1/jobs/", 404),
        ("POST /v1/jobs//withdraw", 404),
        ("POST /v1/jobs/run-done/withdraw/", 404),
        ("GET /v1/jobs/run-done/", 404),
        ("GET /v1/jobs/../../healthz", 404),
        ("POST /healthz", 405),
        ("BREW /healthz", 405),
        ("OPTIONS *", 404),
        ("POST /agent/beat", 400),
        ("GET /agent/beat", 405),
        ("POST /v1/jobs", 400),
    ]
    .into_iter()
    .map(|(line, status)| (plain(line), vec![status]))
    .collect();
    let long = format!("GET /v1/jobs/{}", "x".repeat(60_000));
    all.push((plain(&long), vec![404, 414]));
    let headers = "x: y\r\n".repeat(5_000);
    let many = format!("GET /healthz HTTP/1.1\r\nhost: x\r\n{headers}\r\n");
    all.push((many, vec![431]));
    all.push(("\u{0}\u{1}\u{2}\r\n\r\n".into(), vec![400]));
    all.push(("GET\r\n\r\n".into(), vec![400]));
    let negative = "POST /v1/jobs HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n";
    all.push((negative.into(), vec![400]));
    let chunked =
        "POST /v1/jobs HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n{}\r\n";
    all.push((chunked.into(), vec![400]));
    all
}

/// Bodies that are too large, in bytes: by a little, and by more than a connection holds
/// on its way.
const TOO_LARGE: [usize; 3] = [MAX_BODY_BYTES + 1, 1 << 20, 4 << 20];
const TRIES: usize = 20;

/// Whoever sends too large a body is told so, each time. The connection was ended with
/// most of the body unread, which resets it, and the answer was lost with it: users tried
/// again for as long as they had patience.
#[test]
fn a_body_that_is_too_large_is_answered_at_the_first_try() {
    run(async {
        let world = start_led(loopback::plan("too_large", 68, 1)).await;
        for size in TOO_LARGE {
            for nth in 0..TRIES {
                let body = Bytes::from(vec![b'x'; size]);
                let told = send_body(world.address(0), "/v1/jobs", body).await;
                let status = told.map(|response| response.status);
                assert_eq!(status, Some(400), "{size} bytes, try {nth}");
            }
        }
    });
}

#[test]
fn odd_requests_are_refused_and_cost_nobody_an_answer() {
    run(async {
        let plan = loopback::plan("bad_requests", 200, 2);
        let mut world = start_led(Plan {
            lines: true,
            ..plan
        })
        .await;
        world.submit("run-runs", json!({"shape": "standing"})).await;
        world.submit("run-done", json!({"guess_s": 0.1})).await;
        world.submit("run-over", json!({"shape": "standing"})).await;
        let path = "/v1/jobs/run-over/withdraw";
        let HttpResponse { body: told, .. } = world.ask(Method::POST, path, &Value::Null).await;
        assert_eq!(told["phase"], "cancelled");
        let path = "/v1/jobs/run-done/withdraw";
        let end = Instant::now() + Duration::from_secs(30);
        while world.phase("run-done").await != "done" {
            assert!(Instant::now() < end, "it ends");
            sleep(Duration::from_millis(100)).await;
        }
        let leader = world.leader().expect("a leader");
        let other = (leader + 1) % 3;
        let refused = (leader + 2) % 3;
        for (at, cut) in [(leader, false), (other, false), (refused, true)] {
            if cut {
                world.cut_state(at, LinkFault::Refused);
            }
            let to = world.address(at);
            refuses_unknown(to, &format!("{at}")).await;
            knows(to, "run-runs", &["pending", "running"]).await;
            knows(to, "run-done", &["done"]).await;
            knows(to, "run-over", &["cancelled"]).await;
            let HttpResponse { status, body: told } = ask_until(to, Method::POST, path).await;
            assert_eq!((status, &told["phase"]), (200, &json!("done")), "{told}");
            for (request, may) in odd_requests() {
                let status = send_bytes(to, request.as_bytes()).await.unwrap_or(0);
                assert!(may.contains(&status), "{request:.100}: {status}");
            }
            // What was told of others is told still.
            let HttpResponse { status, body: told } =
                ask_until(to, Method::GET, "/v1/jobs/run-runs").await;
            assert_eq!(status, 200, "{told}");
        }
        world.until("all run", 1, |_| true).await;
        for i in 0..3 {
            world.ask_to_end(i).await;
        }
        world.rules_hold();
    });
}
