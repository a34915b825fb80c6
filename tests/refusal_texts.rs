//! The texts of refusals that users and operators read. Their scripts match these, so they
//! are pinned to the letter.

use serde::Deserialize;
use sorrelhinge::control::{Infeasible, InvalidJob, InvalidRequest, OperatorError, SubmitError};
use sorrelhinge::types::{JobId, NodeId};
use sorrelhinge_protocol::invalid::InvalidField;
use sorrelhinge_reservations::settings::WindowError;
use sorrelhinge_sharding::shard::ShardId;
use sorrelhinge_topology::policy::InfeasiblePolicy;

fn job(id: &str) -> JobId {
    JobId::from(id)
}

/// A field that is not valid, as `path: reason`.
fn field() -> InvalidField {
    InvalidField::Value {
        path: "topology.spread[0].max".into(),
        reason: "is 0".into(),
    }
}

fn assert_submission_refused(error: impl Into<SubmitError>, text: &str) {
    assert_eq!(error.into().to_string(), text);
}

fn assert_operator_refused(error: impl Into<OperatorError>, text: &str) {
    assert_eq!(error.into().to_string(), text);
}

#[test]
fn malformed_submissions_are_refused_in_these_words() {
    assert_submission_refused(InvalidJob::Field("unknown rank"), "unknown rank");
    let text = "pieces is not within 1 to 100000";
    assert_submission_refused(InvalidJob::Field(text), text);
    let rules = InvalidJob::PlacementRules(field());
    assert_submission_refused(rules, "topology.spread[0].max: is 0");
    let text = "the job's names are too long to be recorded";
    assert_submission_refused(InvalidJob::NamesTooLong, text);
}

#[test]
fn infeasible_submissions_are_refused_in_these_words() {
    assert_submission_refused(Infeasible::UnknownTeam, "unknown team");
    let text = "more than the team's limit";
    assert_submission_refused(Infeasible::OverTeamLimit, text);
    let text = "a task fits no allowed machine type";
    assert_submission_refused(Infeasible::FitsNoMachineType, text);
    let rules = InfeasiblePolicy::Devices {
        kind: "encoder".into(),
        count: 2,
        max: 1,
    };
    let text = "2 of \"encoder\" on one machine: the most there is, is 1";
    assert_submission_refused(Infeasible::PlacementRules(rules), text);
    assert_submission_refused(Infeasible::DependsOnItself, "it waits on itself");
    let unknown = Infeasible::UnknownDependency(job("run-1"));
    assert_submission_refused(unknown, "run-1 was never accepted");
    let service = Infeasible::DependsOnService(job("run-2"));
    assert_submission_refused(service, "run-2 is a service");
}

#[test]
fn submissions_that_cannot_be_decided_are_refused_in_these_words() {
    let text = "can't decide now, ask again";
    assert_submission_refused(SubmitError::Unavailable, text);
}

#[test]
fn operators_are_refused_in_these_words() {
    let text = "this controller has no topology";
    assert_operator_refused(OperatorError::NoTopology, text);
    let text = "this controller has no calendar";
    assert_operator_refused(OperatorError::NoCalendar, text);
    assert_operator_refused(OperatorError::NoSuchDrain, "no such drain");
    assert_operator_refused(OperatorError::NoSuchWindow, "no such window");
    let text = "can't tell now, ask again";
    assert_operator_refused(OperatorError::Unavailable, text);
}

#[test]
fn wrong_requests_of_operators_are_refused_in_these_words() {
    let malformed = u32::deserialize(serde_json::json!("x")).expect_err("not a number");
    let text = format!("drain: {malformed}");
    let body = InvalidRequest::Body {
        name: "drain",
        cause: malformed,
    };
    assert_operator_refused(body, &text);
    let text = "topology.spread[0].max: is 0";
    assert_operator_refused(InvalidRequest::Field(field()), text);
    let target = InvalidRequest::UnknownTarget("rack \"7\"".into());
    let text = "there is no domain \"rack \\\"7\\\"\" in the file, and no machine of that name";
    assert_operator_refused(target, text);
    assert_operator_refused(InvalidRequest::TooManyDrains, "too many drains at a time");
    let shard = InvalidRequest::UnknownShard {
        shard: ShardId(7),
        shards: 3,
    };
    assert_operator_refused(shard, "there is no block 7: there are 3, from 0");
    let controller = InvalidRequest::UnknownController(NodeId::from("node-9"));
    assert_operator_refused(controller, "there is no controller node-9");
}

#[test]
fn wrong_calendars_are_refused_in_these_words() {
    let text = "the calendar's record can't be read";
    assert_operator_refused(InvalidRequest::UnreadableCalendar, text);
    let window = InvalidRequest::Window(WindowError {
        window: "launch".into(),
        field: "team",
        reason: "unknown".into(),
    });
    assert_operator_refused(window, "window \"launch\": team: unknown");
}
