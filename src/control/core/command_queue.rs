//! Which machines direct commands are due to, and how many of these are under way.
//!
//! Invariant: at most [`MAX_COMMANDS_IN_FLIGHT`] direct commands are in flight, so that neither
//! sockets nor the processor are short for the heartbeats that answer them.

use std::collections::BTreeSet;

use crate::types::{MachineId, Time};

/// Direct commands under way at a time.
pub const MAX_COMMANDS_IN_FLIGHT: usize = 48;
/// After so long a machine that may hang is tried again if there were too many of its
/// kind, in seconds.
const UNREACHABLE_RETRY_S: f64 = 0.5;

/// In which order machines are contacted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ContactOrder {
    /// In ordinary times every machine; after a failover one that runs services.
    First,
    /// After a failover: one with tasks of other kinds.
    WithTasks,
    /// After a failover: one without tasks.
    Empty,
}

/// A machine that is to be contacted now.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Contact {
    order: ContactOrder,
    machine: MachineId,
}

/// A machine that is to be contacted again. Ordered by time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Retry {
    /// When, in milliseconds on this process's clock.
    at_ms: u64,
    machine: MachineId,
}

/// Machines that commands may have to go to.
#[derive(Debug, Default)]
pub(super) struct CommandQueue {
    /// To be contacted now; each turn takes the first.
    ready: BTreeSet<Contact>,
    /// To be contacted at a time.
    retries: BTreeSet<Retry>,
    /// Direct commands that were sent and are not answered.
    in_flight: usize,
}

impl CommandQueue {
    /// Commands may have to go to a machine.
    pub(super) fn add(&mut self, machine: MachineId, order: ContactOrder) {
        self.ready.insert(Contact { order, machine });
    }

    /// The next machine to contact; none while too many commands are in flight.
    pub(super) fn take_next(&mut self) -> Option<MachineId> {
        if self.in_flight >= MAX_COMMANDS_IN_FLIGHT {
            return None;
        }
        self.ready.pop_first().map(|contact| contact.machine)
    }

    /// Whether a machine that commands did not reach may be tried now: those that may
    /// hang must not keep the others waiting. `suspect`: it has tasks and is silent.
    pub(super) fn may_try_unreachable(&self, suspect: bool) -> bool {
        let max = if suspect {
            MAX_COMMANDS_IN_FLIGHT * 3 / 4
        } else {
            MAX_COMMANDS_IN_FLIGHT / 4
        };
        self.in_flight < max
    }

    /// Contact a machine not before a time.
    pub(super) fn retry_at(&mut self, machine: MachineId, at: Time) {
        let at_ms = (at.0 * 1000.0).ceil().max(0.0) as u64;
        self.retries.insert(Retry { at_ms, machine });
    }

    /// Contact a machine again after so many seconds.
    pub(super) fn retry_after(&mut self, machine: MachineId, delay_s: f64, now: Time) {
        let at_ms = (now.after(delay_s).0 * 1000.0) as u64;
        self.retries.insert(Retry { at_ms, machine });
    }

    /// Contact a machine that may hang again when others of its kind were answered.
    pub(super) fn retry_unreachable(&mut self, machine: MachineId, now: Time) {
        self.retry_after(machine, UNREACHABLE_RETRY_S, now);
    }

    /// Machines whose time to be contacted again has come, the earliest first.
    pub(super) fn take_due_retries(&mut self, now: Time) -> Vec<MachineId> {
        let first_later = Retry {
            at_ms: (now.0 * 1000.0) as u64 + 1,
            machine: MachineId::from(""),
        };
        let later = self.retries.split_off(&first_later);
        let retries = std::mem::replace(&mut self.retries, later);
        retries.into_iter().map(|retry| retry.machine).collect()
    }

    /// A direct command was sent.
    pub(super) fn sent(&mut self) {
        self.in_flight += 1;
    }

    /// A direct command was answered, or failed.
    pub(super) fn settled(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Whether any direct command is unanswered.
    pub(super) fn awaits_answers(&self) -> bool {
        self.in_flight > 0
    }
}
