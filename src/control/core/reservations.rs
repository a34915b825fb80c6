//! This module holds the owner's state of each window of the release calendar and returns the
//! steps that are due. [`sorrelhinge_reservations::plan`] plans the steps and their records.
//! [`crate::scheduler::Reservation`] describes where capacity is reserved.
//! [`super::reservation_refresh`] refreshes the observed state of windows and their
//! reservations.

use std::collections::BTreeMap;

use sorrelhinge_reservations::plan::{Change as RecordChange, Seen, WindowPlan};
use sorrelhinge_reservations::record::{key, Entry, Step, WindowRecord};
use sorrelhinge_sharding::shard::ShardId;

use super::Core;
use crate::state::view::Versioned;
use crate::state::{Change, Condition, Transaction};
use crate::types::{Revision, Time};

/// Window of the calendar, or the remaining records of a removed window.
#[derive(Debug)]
pub(super) struct WatchedWindow {
    /// Entry of the calendar. `None` if the calendar no longer lists the window.
    pub(super) entry: Option<Entry>,
    /// Records of the window's occurrences with their revisions, by the start of the occurrence in
    /// milliseconds.
    pub(super) records: BTreeMap<i64, Versioned<WindowRecord>>,
    /// Time at which the window's work last ran or waited, as far as this owner observed.
    pub(super) last_busy_at: Time,
    /// Number of the window's tasks whose capacity is on machines that still boot.
    pub(super) pending_tasks: u32,
    /// State of the window that this owner observed at the last refresh.
    pub(super) seen: Option<Seen>,
    /// Planned steps of all occurrences of the window.
    pub(super) plan: WindowPlan,
    /// Shortage that was last logged. `None` if the window lacks nothing.
    pub(super) logged: Option<LoggedShortage>,
}

/// Last shortage in the log, kept to suppress repeated log events.
#[derive(Debug)]
pub(super) struct LoggedShortage {
    /// Cause of the shortage.
    pub(super) why: String,
    /// Time at which the shortage was logged.
    pub(super) at: Time,
}

impl WatchedWindow {
    /// Creates the state of a window that was not known before.
    pub(super) fn new(now: Time) -> Self {
        Self {
            entry: None,
            records: BTreeMap::new(),
            last_busy_at: now,
            pending_tasks: 0,
            seen: None,
            plan: WindowPlan {
                each: BTreeMap::new(),
                reserved_tasks: 0,
            },
            logged: None,
        }
    }

    /// Returns the records of the window's occurrences without their revisions, by the start of the
    /// occurrence in milliseconds.
    pub(super) fn records_by_start(&self) -> BTreeMap<i64, WindowRecord> {
        let records = self.records.iter();
        records
            .map(|(start, r)| (*start, r.value.clone()))
            .collect()
    }

    /// Returns the earliest start, in milliseconds, of the occurrences whose records reserve
    /// capacity.
    pub(super) fn first_reserved_ms(&self) -> Option<i64> {
        let is_reserved =
            |r: &Versioned<WindowRecord>| matches!(r.value.step, Step::Warming | Step::Held);
        let reserved = self.records.iter().filter(|(_, r)| is_reserved(r));
        reserved.map(|(start, _)| *start).min()
    }
}

/// All windows that this owner tracks.
#[derive(Debug, Default)]
pub(super) struct Windows {
    pub(super) watched: BTreeMap<String, WatchedWindow>,
    /// Time until which requests to the cloud count as failing for a reason other than
    /// capacity.
    pub(super) failing_until: Option<Time>,
}

impl Windows {
    /// Returns whether free capacity is reserved for any window.
    pub(super) fn any_reserved(&self) -> bool {
        self.watched.values().any(|w| w.plan.reserved_tasks > 0)
    }

    /// Records that a request to the cloud failed, with effect until `until`.
    pub(super) fn record_failure(&mut self, until: Time) {
        self.failing_until = Some(until);
    }

    /// Sets the number of each window's tasks that the plan packed into machines that still
    /// boot.
    pub(super) fn set_pending_tasks(&mut self, pending_tasks: &BTreeMap<String, u32>) {
        for (name, watch) in &mut self.watched {
            watch.pending_tasks = pending_tasks.get(name).copied().unwrap_or(0);
        }
    }
}

/// Step of a window's occurrence that is to be recorded.
#[derive(Debug)]
pub struct WindowStep {
    /// Name of the window that the step belongs to.
    pub window: String,
    /// Start of the window's occurrence by the wall clock, in milliseconds.
    pub start_ms: i64,
    /// Step of the occurrence to record. `None` if the record of the occurrence is to be deleted.
    pub step: Option<Step>,
    /// Transaction that records the step if neither the shard's grant nor the occurrence's record
    /// has changed.
    pub transaction: Transaction,
}

impl Core {
    /// Returns whether this owner records the windows' steps and logs their shortages. Only the
    /// owner of shard 0 does.
    pub(super) fn records_calendar_steps(&self) -> bool {
        self.scope.shard == ShardId(0)
    }

    /// Returns the due steps of all windows' occurrences with their transactions. Returns an empty
    /// list if another owner records the steps, or while the shard is frozen.
    pub fn window_steps(&self) -> Vec<WindowStep> {
        if !self.records_calendar_steps() || self.is_frozen() {
            return Vec::new();
        }
        let mut due = Vec::new();
        for (name, watch) in &self.windows.watched {
            for (start_ms, next) in &watch.plan.each {
                let mod_revision = watch
                    .records
                    .get(start_ms)
                    .map_or(Revision(0), |r| r.mod_revision);
                due.extend(self.window_step(name, *start_ms, mod_revision, &next.change));
            }
        }
        due
    }

    /// Returns a step of a window's occurrence with its transaction, which requires the grant and
    /// the occurrence's record to be unchanged. Returns `None` if the step changes nothing.
    fn window_step(
        &self,
        window: &str,
        start_ms: i64,
        mod_revision: Revision,
        due: &RecordChange,
    ) -> Option<WindowStep> {
        let key = key(window, start_ms);
        let (step, change) = match due {
            RecordChange::Keep => return None,
            RecordChange::Write(record) => {
                (Some(record.step), Change::write(key.clone(), record, None))
            }
            RecordChange::Delete => {
                let delete = key.clone();
                (None, Change::Delete { delete })
            }
        };
        let granted = Condition {
            key: self.grant_key(),
            mod_revision: self.grant_revision,
        };
        Some(WindowStep {
            window: window.to_owned(),
            start_ms,
            step,
            transaction: Transaction {
                conditions: vec![granted, Condition { key, mod_revision }],
                changes: vec![change],
            },
        })
    }
}
