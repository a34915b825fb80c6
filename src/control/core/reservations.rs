//! Windows of the release calendar: what the owner knows of each, and which steps are
//! due. Steps and their records are of [`sorrelhinge_reservations::plan`]; where capacity is
//! reserved, of [`crate::scheduler::Reservation`]. What is seen of windows and held for them is brought
//! up to date by [`super::reservation_refresh`].

use std::collections::BTreeMap;

use sorrelhinge_reservations::plan::{Change as RecordChange, Seen, WindowPlan};
use sorrelhinge_reservations::record::{key, Entry, Step, WindowRecord};
use sorrelhinge_sharding::shard::ShardId;

use super::Core;
use crate::state::view::Versioned;
use crate::state::{Change, Condition, Transaction};
use crate::types::{Revision, Time};

/// A window, or what is left of one.
#[derive(Debug)]
pub(super) struct Watch {
    /// The calendar's entry; none: it was taken out.
    pub(super) entry: Option<Entry>,
    /// Its occurrences' records and their stamps, by their beginning in milliseconds.
    pub(super) records: BTreeMap<i64, Versioned<WindowRecord>>,
    /// When its work last ran or waited, as far as this owner saw.
    pub(super) busy_at: Time,
    /// How many tasks' capacity is on its way for it.
    pub(super) pending_tasks: u32,
    /// What was last seen of it.
    pub(super) seen: Option<Seen>,
    /// What is due for all its occurrences.
    pub(super) plan: WindowPlan,
    /// What was last logged of a shortage.
    pub(super) logged: Option<LoggedShortage>,
}

/// A shortage as it was logged.
#[derive(Debug)]
pub(super) struct LoggedShortage {
    /// Its cause.
    pub(super) why: String,
    /// When it was logged.
    pub(super) at: Time,
}

impl Watch {
    /// A window that was not known before.
    pub(super) fn new(now: Time) -> Self {
        Self {
            entry: None,
            records: BTreeMap::new(),
            busy_at: now,
            pending_tasks: 0,
            seen: None,
            plan: WindowPlan {
                each: BTreeMap::new(),
                reserved_tasks: 0,
            },
            logged: None,
        }
    }

    /// Its occurrences' records, without their stamps.
    pub(super) fn record_values(&self) -> BTreeMap<i64, WindowRecord> {
        let records = self.records.iter();
        records
            .map(|(start, r)| (*start, r.value.clone()))
            .collect()
    }

    /// The first beginning, in milliseconds, of those occurrences for which capacity is reserved
    /// by their records.
    pub(super) fn first_reserved_ms(&self) -> Option<i64> {
        let is_reserved =
            |r: &Versioned<WindowRecord>| matches!(r.value.step, Step::Warming | Step::Held);
        let reserved = self.records.iter().filter(|(_, r)| is_reserved(r));
        reserved.map(|(start, _)| *start).min()
    }
}

/// All windows that this owner knows.
#[derive(Debug, Default)]
pub(super) struct Windows {
    pub(super) watched: BTreeMap<String, Watch>,
    /// Requests of the cloud fail until then, for another reason than capacity.
    pub(super) failing_until: Option<Time>,
}

impl Windows {
    /// Whether free capacity is reserved for any.
    pub(super) fn any_reserved(&self) -> bool {
        self.watched.values().any(|w| w.plan.reserved_tasks > 0)
    }

    /// A request of the cloud failed.
    pub(super) fn failed(&mut self, until: Time) {
        self.failing_until = Some(until);
    }

    /// What was packed into machines on their way.
    pub(super) fn set_pending_tasks(&mut self, pending_tasks: &BTreeMap<String, u32>) {
        for (name, watch) in &mut self.watched {
            watch.pending_tasks = pending_tasks.get(name).copied().unwrap_or(0);
        }
    }
}

/// A step to record.
#[derive(Debug)]
pub struct WindowStep {
    /// The window.
    pub window: String,
    /// The occurrence's beginning, in milliseconds of the time of day.
    pub start_ms: i64,
    /// The step; none: the record goes.
    pub step: Option<Step>,
    /// The change, on the conditions that the grant and the record are the same.
    pub transaction: Transaction,
}

impl Core {
    /// Whether this owner takes the windows' steps, and speaks of them in the log: only
    /// that of shard 0 does.
    pub(super) fn keeps_calendar(&self) -> bool {
        self.scope.shard == ShardId(0)
    }

    /// Steps that are due, each with its change, if this owner takes them.
    pub fn window_steps(&self) -> Vec<WindowStep> {
        if !self.keeps_calendar() || self.is_frozen() {
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

    /// A step as a transaction on the conditions that the grant and the occurrence's
    /// record are the same; none: nothing changes.
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
