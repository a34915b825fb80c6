//! Users' requests about jobs: submissions, polls and cancellations (PROTOCOL, "Users -> controller nodes").

use std::future::Future;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use sorrelhinge_overload::pressure::Level;
use sorrelhinge_protocol::placement::PlacementRules;
use sorrelhinge_protocol::users::{job_id, read_job, read_needs};

use super::reply::{later, passed, refuse, reply, Reply};
use crate::control::load_counts::increment;
use crate::control::{
    CancelOutcome, InvalidJob, JobStatus, Node, PollOutcome, SubmitError, Submitted,
};
use crate::peer_link;
use crate::state::record::{NewJob, Phase};
use crate::state::view::Summary;
use crate::types::{JobId, JobSpec};

/// How long a user waits for an answer (PROTOCOL).
const USER_PATIENCE: Duration = Duration::from_secs(2);
/// A poll that is shed comes back after so many seconds.
const SHED_POLL_S: u32 = 2;
/// A submission that is shed comes back after so many seconds.
const SHED_SUBMISSION_S: u32 = 3;

/// Takes a user's submission, unless too much is asked for.
pub(super) async fn take_submission(node: &Node, body: &[u8]) -> Reply {
    if node.load().level() >= Level::Submissions && !node.admits_by_lane_turn(body) {
        increment(&node.load().counts.shed);
        return later(SHED_SUBMISSION_S, "too much is asked for now");
    }
    increment(&node.load().counts.submissions);
    answer_or_forward(node, peer_link::Kind::Submit, body, submit(node, body)).await
}

/// Takes a user's cancellation.
pub(super) async fn take_cancellation(node: &Node, id: &str) -> Reply {
    increment(&node.load().counts.cancellations);
    let here = withdraw(node, id);
    answer_or_forward(node, peer_link::Kind::Withdraw, id.as_bytes(), here).await
}

/// Answers a submission here.
pub(super) async fn submit(node: &Node, body: &[u8]) -> Reply {
    let Ok(value) = serde_json::from_slice::<Value>(body) else {
        return refuse(400, "not JSON");
    };
    if !value.is_object() {
        return refuse(400, "not an object");
    }
    let Some(id) = value.get("uid").and_then(Value::as_str).and_then(job_id) else {
        return refuse(400, "uid is missing or invalid");
    };
    let new = read_new_job(value, node.topology().is_some());
    let submitted = node.submit(&id, new).await;
    if submitted.is_ok() {
        node.record_answer(&id, true);
    }
    submission_reply(&id, submitted)
}

/// Reads a submitted job. Without a topology its placement rules are an unknown field, and
/// ignored like any other.
fn read_new_job(value: Value, has_topology: bool) -> Result<NewJob, InvalidJob> {
    let placement = if has_topology {
        PlacementRules::read(&value)
    } else {
        Ok(None)
    };
    let needs = read_needs(&value);
    let spec = read_job(value).map_err(InvalidJob::Field)?;
    let placement = placement?.map(Box::new);
    let spec = JobSpec { placement, ..spec };
    let needs = needs.map_err(InvalidJob::Field)?;
    Ok(NewJob { spec, needs })
}

/// The status and body of what a submission came to.
fn submission_reply(id: &JobId, submitted: Result<Submitted, SubmitError>) -> Reply {
    match submitted {
        Ok(Submitted::Accepted(summary)) => {
            reply(201, json!({"uid": id, "phase": phase_name(summary)}))
        }
        Ok(Submitted::Known(summary)) => reply(200, describe(id, summary)),
        Err(error) => refuse(submit_error_status(&error), &error.to_string()),
    }
}

/// The status of a submission that is not accepted.
fn submit_error_status(error: &SubmitError) -> u16 {
    match error {
        SubmitError::Invalid(_) => 400,
        SubmitError::Infeasible(_) => 422,
        SubmitError::Unavailable => 503,
    }
}

/// Answers a user's poll.
pub(super) async fn poll(node: &Node, id: &str) -> Reply {
    let Some(id) = job_id(id) else {
        return refuse(404, "no such job");
    };
    // While too much is asked for, polls of jobs that are not over are told to
    // come back, but none twice in a row: when they were drawn, a user was now
    // and then refused for longer than the 75 s after which a job is forgotten.
    if node.sheds_poll(&id) {
        increment(&node.load().counts.shed);
        return later(SHED_POLL_S, "too much is asked for now");
    }
    let asked = Instant::now();
    let answer = match node.poll(&id).await {
        PollOutcome::Local(status) => status_reply(node, &id, status),
        PollOutcome::Peer(answered) => passed(answered),
    };
    // Later than that nobody listens, and the next poll is not to be shed either.
    let answered_in_time = answer.status() != 503 && asked.elapsed() < USER_PATIENCE;
    node.record_answer(&id, answered_in_time);
    answer
}

/// The status and body of what is known of a job.
fn status_reply(node: &Node, id: &JobId, status: JobStatus) -> Reply {
    match status {
        JobStatus::Recorded(summary) => reply(200, describe_in_full(node, id, summary)),
        JobStatus::Absent => refuse(404, "no such job"),
        JobStatus::Unconfirmed => refuse(503, "can't tell now, ask again"),
    }
}

/// A job's state, with what it inherits in a pipeline and why it waits, if that is known.
fn describe_in_full(node: &Node, id: &JobId, summary: Summary) -> Value {
    let mut shown = describe(id, summary);
    if let Some(status) = node.pipeline_status(id) {
        shown["pipeline"] = json!(status);
    }
    // It looks at all machines, so only where operators asked for it.
    if summary.phase == Phase::Live && node.topology().is_some() {
        if let Some(why) = node.why_waits(id) {
            shown["waits"] = json!(why.to_string());
        }
    }
    shown
}

/// A poll that another controller could not confirm: never shed a second time.
pub(super) async fn answer_peer_poll(node: &Node, id: &str) -> Reply {
    let Some(id) = job_id(id) else {
        return refuse(404, "no such job");
    };
    let status = node.poll_for_peer(&id).await;
    status_reply(node, &id, status)
}

/// Answers a cancellation here.
pub(super) async fn withdraw(node: &Node, id: &str) -> Reply {
    let Some(id) = job_id(id) else {
        return refuse(404, "no such job");
    };
    match node.cancel(&id).await {
        CancelOutcome::Cancelled => reply(200, json!({"uid": id, "phase": "cancelled"})),
        CancelOutcome::Done => reply(200, json!({"uid": id, "phase": "done"})),
        CancelOutcome::Absent => refuse(404, "no such job"),
        CancelOutcome::Undecided => refuse(503, "can't decide now, ask again"),
    }
}

/// Answers a user's request here, or passes it on: at once if the state
/// service is known to serve others only, else if it did not serve this one.
async fn answer_or_forward(
    node: &Node,
    kind: peer_link::Kind,
    text: &[u8],
    here: impl Future<Output = Reply>,
) -> Reply {
    if node.is_cut_off_from_store() {
        if let Some(answered) = node.forward_change(kind, text).await {
            return passed(answered);
        }
    }
    let answer = here.await;
    if answer.status() == 503 && node.may_forward() {
        if let Some(answered) = node.forward_change(kind, text).await {
            return passed(answered);
        }
    }
    answer
}

fn phase_name(summary: Summary) -> &'static str {
    match summary.phase {
        Phase::Done => "done",
        Phase::Cancelled => "cancelled",
        Phase::Live if summary.running > 0 => "running",
        Phase::Live => "pending",
    }
}

fn describe(id: &JobId, summary: Summary) -> Value {
    json!({"uid": id, "phase": phase_name(summary), "done": summary.done, "running": summary.running})
}
