//! State of direct commands to one agent.

use crate::types::Time;

/// Base of the retry delay after a failed direct command, in seconds. The delay doubles with
/// each failure in a row, at most `MAX_DOUBLINGS` times.
const FIRST_PAUSE_S: f64 = 0.25;
const MAX_DOUBLINGS: u32 = 5;
/// Longest wait before the next direct command once the agent itself has sent a heartbeat, in
/// seconds. The limit applies after any number of failed commands.
const RETRY_AFTER_HEARTBEAT_S: f64 = 1.0;
/// Delay before the next direct command after an agent refused one, in seconds. Each command names
/// the agent's newest known incarnation, and a late heartbeat does not set that incarnation back.
const RETRY_AFTER_REFUSAL_S: f64 = 0.02;

/// State of direct commands to one agent.
#[derive(Debug)]
pub(super) struct DirectCommandState {
    /// A direct command to the agent is in flight.
    in_flight: bool,
    /// Earliest time of the next direct command to the agent.
    retry_at: Time,
    /// Number of direct commands in a row that did not get through to the agent.
    failures: u32,
    /// The agent is silent and has tasks, so the owner contacts it directly.
    suspect: bool,
    /// Number of times in a row that the agent accepted a connection and did not answer.
    unanswered_connections: u32,
}

impl DirectCommandState {
    /// Returns the state of an agent to which no direct command was sent yet.
    pub(super) fn new(now: Time) -> Self {
        Self {
            in_flight: false,
            retry_at: now,
            failures: 0,
            suspect: false,
            unanswered_connections: 0,
        }
    }

    /// Returns whether a direct command to the agent is in flight.
    pub(super) fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    /// Returns the earliest time of the next direct command to the agent.
    pub(super) fn retry_at(&self) -> Time {
        self.retry_at
    }

    /// Returns whether the last direct command did not get through to the agent.
    pub(super) fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether the agent is silent and has tasks.
    pub(super) fn is_suspect(&self) -> bool {
        self.suspect
    }

    /// Returns how many times in a row the agent accepted a connection and did not answer.
    pub(super) fn unanswered_connections(&self) -> u32 {
        self.unanswered_connections
    }

    /// Marks the agent as silent with tasks, so that the owner contacts it directly.
    pub(super) fn suspect(&mut self) {
        self.suspect = true;
    }

    /// Records a heartbeat of the agent, whichever path it took.
    pub(super) fn contact_confirmed(&mut self) {
        (self.suspect, self.unanswered_connections) = (false, 0);
    }

    /// Records a heartbeat that the agent itself sent here, which shows that the network path
    /// works.
    pub(super) fn reported(&mut self, now: Time) {
        self.retry_at = Time(self.retry_at.0.min(now.0 + RETRY_AFTER_HEARTBEAT_S));
    }

    /// Records that a direct command was sent to the agent.
    pub(super) fn sent(&mut self) {
        self.in_flight = true;
    }

    /// Records that the outcome of the command in flight is known.
    pub(super) fn settled(&mut self) {
        self.in_flight = false;
    }

    /// Records that the agent executed a command.
    pub(super) fn executed(&mut self, now: Time) {
        self.failures = 0;
        self.retry_at = now;
    }

    /// Records that the agent refused a command.
    pub(super) fn refused(&mut self, now: Time) {
        self.failures = 0;
        self.retry_at = now.after(RETRY_AFTER_REFUSAL_S);
    }

    /// Records that a command did not get through. `hung` tells that the agent accepted the
    /// connection and did not answer.
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
