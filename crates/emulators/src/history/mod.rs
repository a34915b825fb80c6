//! The history of a run, as seen from outside the controllers, and its checker.
//!
//! A [`Recorder`] notes what users asked and were told, and what happened on the
//! machines, each with its time. [`check`] then holds the whole history against the
//! rules of PROTOCOL ("Rules") and the operators' additions. The checker does no
//! I/O and reads no clock, so it serves recorded runs and made-up histories alike.

mod check;
mod event;
mod job;
mod record;

pub use check::{check, InvariantViolation, Rule};
pub use event::{
    Answer, AttemptId, Entry, Event, History, JobPhase, Limits, Machine, Moment, Reason, Request,
    RequestId, TaskName,
};
pub use job::{Amounts, Job, MachineType, RejectReason, Site, Team};
pub use record::Recorder;
