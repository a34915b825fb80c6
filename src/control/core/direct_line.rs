//! Whether direct commands get through to one worker.

use crate::types::Time;

/// The first pause after a direct command failed, in seconds; it doubles with each
/// failure in a row, so many times at the most.
const FIRST_PAUSE_S: f64 = 0.25;
const MAX_DOUBLINGS: u32 = 5;
/// Within so long of a heartbeat of the worker's own the next direct command is tried, in
/// seconds, however many have failed.
const RETRY_AFTER_HEARTBEAT_S: f64 = 1.0;
/// So long after a worker refused a command it is tried again, in seconds: a report that
/// was overtaken leaves the incarnation as it was.
const RETRY_AFTER_REFUSAL_S: f64 = 0.02;

/// Direct commands to one worker.
#[derive(Debug)]
pub(super) struct DirectLine {
    /// A command is under way.
    in_flight: bool,
    /// No command is sent before this.
    retry_at: Time,
    /// How many in a row did not get through.
    failures: u32,
    /// It is silent and has tasks: it is asked directly.
    suspect: bool,
    /// How often in a row it took a connection and did not answer.
    unanswered_connections: u32,
}

impl DirectLine {
    /// Nothing was sent yet.
    pub(super) fn new(now: Time) -> Self {
        Self {
            in_flight: false,
            retry_at: now,
            failures: 0,
            suspect: false,
            unanswered_connections: 0,
        }
    }

    /// Whether a command is under way.
    pub(super) fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    /// When the next command may be sent.
    pub(super) fn retry_at(&self) -> Time {
        self.retry_at
    }

    /// Whether the last command did not get through.
    pub(super) fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Whether the worker is silent and has tasks.
    pub(super) fn is_suspect(&self) -> bool {
        self.suspect
    }

    /// How often in a row the worker took a connection and did not answer.
    pub(super) fn unanswered_connections(&self) -> u32 {
        self.unanswered_connections
    }

    /// The worker is silent and has tasks: it is to be asked.
    pub(super) fn suspect(&mut self) {
        self.suspect = true;
    }

    /// A heartbeat of the worker came, on whatever way.
    pub(super) fn contact_confirmed(&mut self) {
        (self.suspect, self.unanswered_connections) = (false, 0);
    }

    /// A heartbeat came from the worker itself: there is a way.
    pub(super) fn reported(&mut self, now: Time) {
        self.retry_at = Time(self.retry_at.0.min(now.0 + RETRY_AFTER_HEARTBEAT_S));
    }

    /// A command is sent.
    pub(super) fn sent(&mut self) {
        self.in_flight = true;
    }

    /// It is known what became of the command that was under way.
    pub(super) fn settled(&mut self) {
        self.in_flight = false;
    }

    /// A command was carried out.
    pub(super) fn executed(&mut self, now: Time) {
        self.failures = 0;
        self.retry_at = now;
    }

    /// The worker answered and refused a command.
    pub(super) fn refused(&mut self, now: Time) {
        self.failures = 0;
        self.retry_at = now.after(RETRY_AFTER_REFUSAL_S);
    }

    /// A command did not get through. `hung`: the connection was taken, and no answer
    /// came.
    pub(super) fn failed(&mut self, hung: bool, now: Time) {
        self.unanswered_connections = if hung {
            self.unanswered_connections + 1
        } else {
            0
        };
        self.failures += 1;
        let pause_s = FIRST_PAUSE_S * f64::from(self.failures.min(MAX_DOUBLINGS)).exp2();
        self.retry_at = now.after(pause_s);
    }
}
