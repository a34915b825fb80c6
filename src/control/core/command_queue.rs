//! Queue of machines that need direct commands, and the number of commands in flight.
//!
//! Invariant: at most [`MAX_COMMANDS_IN_FLIGHT`] direct commands are in flight, so that enough
//! sockets and CPU time remain for the heartbeats that answer them.

use std::collections::BTreeSet;

use crate::types::{MachineId, Time};

/// Maximum number of direct commands in flight.
pub const MAX_COMMANDS_IN_FLIGHT: usize = 48;
/// Delay before the owner tries again to contact a machine that may hang, in seconds. The delay
/// applies if too many commands were in flight.
const UNREACHABLE_RETRY_S: f64 = 0.5;

/// Order in which machines are contacted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ContactOrder {
    /// Order of every machine in normal operation, and of a machine that runs services after a
    /// failover.
    First,
    /// Order of a machine that runs tasks but no services, after a failover.
    WithTasks,
    /// Order of a machine without tasks, after a failover.
    Empty,
}

/// Machine to contact now. Contacts are sorted by order, then by machine.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Contact {
    order: ContactOrder,
    machine: MachineId,
}

/// Machine to contact at a later time. Retries are sorted by time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Retry {
    /// Time of the contact, in milliseconds on this process's clock.
    at_ms: u64,
    machine: MachineId,
}

/// Queue of machines whose agents may need direct commands.
#[derive(Debug, Default)]
pub(super) struct CommandQueue {
    /// Machines whose agents the owner may contact now. The first one is contacted next.
    ready: BTreeSet<Contact>,
    /// Machines whose agents the owner contacts at a later time.
    retries: BTreeSet<Retry>,
    /// Number of direct commands that were sent and are not answered.
    in_flight: usize,
}

impl CommandQueue {
    /// Queues a machine whose agent may need direct commands.
    pub(super) fn add(&mut self, machine: MachineId, order: ContactOrder) {
        self.ready.insert(Contact { order, machine });
    }

    /// Removes and returns the next machine to contact. Returns `None` while too many commands
    /// are in flight.
    pub(super) fn take_next(&mut self) -> Option<MachineId> {
        if self.in_flight >= MAX_COMMANDS_IN_FLIGHT {
            return None;
        }
        self.ready.pop_first().map(|contact| contact.machine)
    }

    /// Returns whether the owner may contact an unreachable machine now, given the number of
    /// commands in flight. The limit is lower than for other machines, because machines that may
    /// hang must not delay the others. `suspect` tells that the machine has tasks and is silent,
    /// which raises the limit.
    pub(super) fn may_try_unreachable(&self, suspect: bool) -> bool {
        let max = if suspect {
            MAX_COMMANDS_IN_FLIGHT * 3 / 4
        } else {
            MAX_COMMANDS_IN_FLIGHT / 4
        };
        self.in_flight < max
    }

    /// Schedules a contact of a machine at a time or later.
    pub(super) fn retry_at(&mut self, machine: MachineId, at: Time) {
        let at_ms = (at.0 * 1000.0).ceil().max(0.0) as u64;
        self.retries.insert(Retry { at_ms, machine });
    }

    /// Schedules a contact of a machine after `delay_s` seconds.
    pub(super) fn retry_after(&mut self, machine: MachineId, delay_s: f64, now: Time) {
        let at_ms = (now.after(delay_s).0 * 1000.0) as u64;
        self.retries.insert(Retry { at_ms, machine });
    }

    /// Schedules another contact of a machine that may hang, after other machines that may hang
    /// have had time to answer.
    pub(super) fn retry_unreachable(&mut self, machine: MachineId, now: Time) {
        self.retry_after(machine, UNREACHABLE_RETRY_S, now);
    }

    /// Removes and returns the machines whose retry time has come, the earliest first.
    pub(super) fn take_due_retries(&mut self, now: Time) -> Vec<MachineId> {
        let first_later = Retry {
            at_ms: (now.0 * 1000.0) as u64 + 1,
            machine: MachineId::from(""),
        };
        let later = self.retries.split_off(&first_later);
        let retries = std::mem::replace(&mut self.retries, later);
        retries.into_iter().map(|retry| retry.machine).collect()
    }

    /// Counts a direct command that was sent.
    pub(super) fn sent(&mut self) {
        self.in_flight += 1;
    }

    /// Counts a direct command that was answered or failed.
    pub(super) fn settled(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns whether any direct command is in flight.
    pub(super) fn awaits_answers(&self) -> bool {
        self.in_flight > 0
    }
}
