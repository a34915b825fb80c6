//! What a history is made of: typed events with their times.

use std::time::Duration;

use serde_json::Value;

use super::job::{Amounts, Site};

/// Time since the history began.
pub type Moment = Duration;

/// A question of a user, numbered in the order in which they were sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub usize);

/// A task: its job and its number there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskName {
    /// The job.
    pub job: String,
    /// The task's number in it.
    pub index: u64,
}

impl TaskName {
    /// Reads `run-000412/3`.
    pub fn parse(text: &str) -> Option<Self> {
        let (job, index) = text.rsplit_once('/')?;
        Some(Self {
            job: job.into(),
            index: index.parse().ok()?,
        })
    }
}

/// One attempt of a task on a machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The task.
    pub task: TaskName,
    /// The attempt's number.
    pub attempt: u64,
    /// The machine.
    pub machine: String,
}

/// What a user asks.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// `POST /v1/jobs`, with the body as sent.
    Submit {
        /// The id in the body.
        uid: String,
        /// The whole body.
        body: Value,
    },
    /// `GET /v1/jobs/{id}`.
    Poll {
        /// The job.
        uid: String,
    },
    /// `POST /v1/jobs/{id}/withdraw`.
    Cancel {
        /// The job.
        uid: String,
    },
}

impl Request {
    /// The job that it is about.
    pub fn uid(&self) -> &str {
        match self {
            Self::Submit { uid, .. } | Self::Poll { uid } | Self::Cancel { uid } => uid,
        }
    }
}

/// A job's phase as users see it (PROTOCOL, "GET /v1/jobs/{id}").
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobPhase {
    /// No task runs.
    Pending,
    /// Some task runs.
    Running,
    /// All tasks are done.
    Done,
    /// Cancelled by its user.
    Cancelled,
}

impl JobPhase {
    /// Reads the word of an answer.
    pub fn parse(word: &str) -> Option<Self> {
        match word {
            "pending" => Some(Self::Pending),
            "running" => Some(Self::Running),
            "done" => Some(Self::Done),
            "cancelled" => Some(Self::Cancelled),
            _ => None,
        }
    }

    /// Whether it never changes again.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Cancelled)
    }
}

/// What came back to a user.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A status, with the phase if the body has one.
    Status(u16, Option<JobPhase>),
    /// No answer in time, or a failed connection.
    Nothing,
}

impl Answer {
    /// The phase of a 200 or 201.
    pub fn phase(self) -> Option<JobPhase> {
        match self {
            Self::Status(200 | 201, phase) => phase,
            _ => None,
        }
    }

    /// The status, if there was an answer.
    pub fn status(self) -> Option<u16> {
        match self {
            Self::Status(status, _) => Some(status),
            Self::Nothing => None,
        }
    }
}

/// A machine as it came up.
#[derive(Clone, Debug, PartialEq)]
pub struct Machine {
    /// Its name.
    pub id: String,
    /// Its type, one of the site's.
    pub build: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// What it has free capacity for.
    pub free_capacity: Amounts,
}

/// Why a task is no longer on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It completed.
    Done,
    /// It was stopped, refused or failed, or its worker's lease ended.
    Ended,
}

/// One thing that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A user sent a question to a node.
    Asked {
        /// The question's number.
        request: RequestId,
        /// The node it went to.
        node: usize,
        /// What was asked.
        what: Request,
    },
    /// The question was answered, or given up.
    Answered {
        /// The question's number.
        request: RequestId,
        /// What came.
        answer: Answer,
    },
    /// A machine is up.
    MachineUp(Machine),
    /// A machine can't be used for now: cut off, hanging, deaf or mute.
    MachineOut(String),
    /// It can be used again.
    MachineBack(String),
    /// A machine and all on it is gone.
    MachineGone(String),
    /// A task is on a machine from now on.
    Started(AttemptId),
    /// It no longer is.
    Left(AttemptId, Reason),
    /// The state service has a job recorded in a final phase.
    Recorded {
        /// The job.
        uid: String,
        /// The phase.
        phase: JobPhase,
    },
    /// Whatever was injected is over.
    TroublesOver,
}

/// An event and when it was.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// When.
    pub at: Moment,
    /// What.
    pub event: Event,
}

/// The bounds of the rules, for one history.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// `cancel_s` of the settings: a task must be gone so long after its job was
    /// confirmed as cancelled.
    pub cancel: Duration,
    /// All polls for a job may fail for so long while most others are answered.
    pub polls_fail: Duration,
    /// A job may go unanswered for so long once troubles are over.
    pub unanswered: Duration,
    /// A job may wait for so long, once troubles are over, where it could run.
    pub waiting: Duration,
    /// So many starts may come after a confirmed cancellation, of all jobs together.
    pub starts_after_cancel: usize,
}

impl Limits {
    /// The bounds of PROTOCOL and of the operators, with no start after a
    /// cancellation.
    pub const fn new(cancel: Duration) -> Self {
        Self {
            cancel,
            polls_fail: Duration::from_secs(90),
            unanswered: Duration::from_secs(75),
            waiting: Duration::from_secs(90),
            starts_after_cancel: 0,
        }
    }
}

/// All that happened at a site.
#[derive(Clone, Debug)]
pub struct History {
    /// Teams and machine types.
    pub site: Site,
    /// What happened, in any order: the checker sorts by time, and keeps the order
    /// in which things of the same time were noted.
    pub entries: Vec<Entry>,
    /// When it ends: what has not ended by then goes on until then.
    pub end: Moment,
}
