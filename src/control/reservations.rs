//! The release calendar: the calendar file, the steps of windows, and requests of operators.

use std::rc::Rc;
use std::time::Duration;

use sorrelhinge_reservations::record::{CalendarRecord, Taken, CALENDAR_KEY};
use sorrelhinge_reservations::settings::{check_windows, Calendar, Known};
use sorrelhinge_reservations::shown::{CalendarShown, PinWindow, UnpinWindow};
use sorrelhinge_sharding::shard::ShardId;
use tokio::time::sleep;

use super::operator_changes::{ChangePlan, RecordWrite};
use super::operator_error::{InvalidRequest, OperatorError};
use super::{core, wall_ms, Node};
use crate::state::view::Versioned;
use crate::state::{Change, RequestPriority, StateError, TransactionOutcome};
use crate::types::Revision;

/// Interval between checks of the windows.
const CALENDAR_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a write of the calendar may wait until the rate limit of the state service allows it.
const CALENDAR_QUEUE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Record of the windows in the calendar file, to be written over the calendar's current record.
struct NewerCalendar {
    /// Revision of the calendar's current record.
    mod_revision: Revision,
    record: CalendarRecord,
}

/// Ensures that an error in the calendar file is logged only once.
#[derive(Default)]
struct LogOnce {
    logged: bool,
}

impl LogOnce {
    fn log_once(&mut self, log: impl FnOnce()) {
        if !self.logged {
            self.logged = true;
            log();
        }
    }
}

/// Change of the calendar that an operator requests.
#[derive(Debug, serde::Deserialize)]
#[serde(
    untagged,
    expecting = "data did not match any variant of untagged enum CalendarAsked"
)]
pub enum CalendarChange {
    /// Adds or replaces a window.
    Pin(Box<PinWindow>),
    /// Removes a window.
    Unpin(UnpinWindow),
}

/// Returns the wall clock in milliseconds since 1970.
pub fn unix_ms() -> i64 {
    i64::try_from(wall_ms()).unwrap_or(i64::MAX)
}

impl Node {
    /// Keeps the calendar's record up to date and takes the due steps of the windows.
    pub(super) async fn run_reservations(self: Rc<Self>) {
        let Some(file) = self.cfg.calendar.clone() else {
            return;
        };
        let mut file_error_log = LogOnce::default();
        loop {
            sleep(CALENDAR_INTERVAL).await;
            if !self.store.view().loaded {
                continue;
            }
            self.record_calendar_file(&file, &mut file_error_log).await;
            let steps = {
                let view = self.store.view();
                let (wall, now) = (unix_ms(), self.now());
                let mut steps = Vec::new();
                for c in self.shards.owned_mut().values_mut() {
                    c.refresh_windows(&view, wall, now);
                    steps.extend(c.window_steps());
                }
                steps
            };
            self.wakeups.wake_owner();
            for step in steps {
                self.record_window_step(step).await;
            }
        }
    }

    /// Writes the windows of the calendar file if the file is newer than the calendar's record. If
    /// several controllers have files, the file with the highest number wins, regardless of the
    /// order in which they start.
    async fn record_calendar_file(&self, file: &Calendar, file_error_log: &mut LogOnce) {
        let Some(newer) = self.newer_calendar(file, file_error_log) else {
            return;
        };
        // The machine types are unknown until the cloud has listed them.
        if !self.catalog.has_types() {
            return;
        }
        if let Err(error) = self.check_calendar(&newer.record) {
            file_error_log.log_once(|| {
                let why = error.to_string();
                tracing::error!(why, "calendar file rejected");
            });
            return;
        }
        match self.write_calendar(newer.mod_revision, &newer.record).await {
            Ok(TransactionOutcome::Done(revision)) => {
                tracing::info!(
                    number = newer.record.number,
                    windows = newer.record.entries.len(),
                    "calendar"
                );
                self.peers.announce(revision);
                self.refresh_view().await;
            }
            // Another controller was faster. The refreshed view shows the result.
            Ok(TransactionOutcome::Failed(_)) => {
                self.refresh_view().await;
            }
            Err(error) => tracing::debug!(%error, "calendar"),
        }
    }

    /// Returns the calendar's record made from the calendar file, if it is newer than the current
    /// record.
    fn newer_calendar(
        &self,
        file: &Calendar,
        file_error_log: &mut LogOnce,
    ) -> Option<NewerCalendar> {
        let view = self.store.view();
        let recorded = &view.calendar;
        // A record that can't be parsed is never overwritten.
        if recorded.mod_revision > Revision(0) && recorded.value.is_none() {
            return None;
        }
        match CalendarRecord::take(recorded.value.as_ref(), file) {
            Taken::Newer(record) => Some(NewerCalendar {
                mod_revision: recorded.mod_revision,
                record,
            }),
            Taken::Differs => {
                file_error_log.log_once(|| {
                    let number = file.number;
                    tracing::error!(number, "calendar file differs at the same number; raise it");
                });
                None
            }
            Taken::Later => {
                file_error_log.log_once(|| tracing::error!("calendar record of a later version"));
                None
            }
            Taken::Same | Taken::Older => None,
        }
    }

    /// Checks whether windows may be recorded: their teams, machine types and sizes.
    fn check_calendar(&self, record: &CalendarRecord) -> Result<(), InvalidRequest> {
        let known = Known {
            types: self.catalog.types().clone(),
            ..self.cfg.calendar_known(unix_ms())
        };
        let windows: Vec<_> = record.entries.iter().map(|e| e.window.clone()).collect();
        check_windows(&windows, &known)?;
        record.fits(self.cfg.state_limits.value_bytes as u64 / 1024)?;
        Ok(())
    }

    /// Writes the calendar's record if its revision still is `mod_revision`.
    async fn write_calendar(
        &self,
        mod_revision: Revision,
        record: &CalendarRecord,
    ) -> Result<TransactionOutcome, StateError> {
        let change = Change::write(CALENDAR_KEY.into(), record, None);
        self.state
            .change(
                CALENDAR_KEY.into(),
                mod_revision,
                change,
                CALENDAR_QUEUE_TIMEOUT,
            )
            .await
    }

    /// Records a step of a window, unless another controller has recorded it already.
    async fn record_window_step(&self, step: core::WindowStep) {
        match self
            .state
            .transact(
                &step.transaction,
                RequestPriority::Within(CALENDAR_QUEUE_TIMEOUT),
            )
            .await
        {
            Ok(TransactionOutcome::Done(revision)) => {
                let name = step.step.map_or("forgotten".into(), |s| s.to_string());
                tracing::info!(
                    window = step.window,
                    start_ms = step.start_ms,
                    step = name,
                    "calendar"
                );
                self.peers.announce(revision);
            }
            Ok(TransactionOutcome::Failed(_)) => {}
            // If the transaction was applied after all, the refreshed view shows it.
            Err(error) => tracing::debug!(%error, "calendar"),
        }
        self.refresh_view().await;
    }

    /// Returns the calendar for operators. Only the owner of shard 0 knows all of it.
    ///
    /// # Errors
    ///
    /// There is no calendar here, or shard 0 is owned elsewhere.
    pub fn show_calendar(&self) -> Result<CalendarShown, OperatorError> {
        if self.cfg.calendar.is_none() {
            return Err(OperatorError::NoCalendar);
        }
        let view = self.store.view();
        let cores = self.shards.owned();
        let Some(core) = cores.get(ShardId(0)) else {
            let owner = match view.shard_count() {
                1 => view.leader.value.as_ref().map(|l| l.node.clone()),
                _ => view.shards.get(&ShardId(0)).map(|b| b.value.owner.clone()),
            };
            let other = owner.filter(|o| *o != self.cfg.node);
            return Err(other.map_or(OperatorError::Unavailable, OperatorError::Elsewhere));
        };
        Ok(CalendarShown {
            number: view.calendar.value.as_ref().map_or(0, |c| c.number),
            owner: Some(self.cfg.node.to_string()),
            windows: core.windows_shown(unix_ms()),
        })
    }

    /// Pins or removes a window, and returns once the change is recorded.
    ///
    /// # Errors
    ///
    /// There is no calendar here, the window is refused, or the change could not be recorded.
    pub async fn change_calendar(&self, asked: &CalendarChange) -> Result<(), OperatorError> {
        if self.cfg.calendar.is_none() {
            return Err(OperatorError::NoCalendar);
        }
        if let CalendarChange::Pin(pin) = asked {
            let checked = pin.window.check("window");
            checked.map_err(InvalidRequest::from)?;
        }
        let plan = || self.plan_calendar_change(asked);
        let failed = |error: StateError| tracing::info!(%error, "calendar");
        let recorded_windows = self
            .change_for_operator(CALENDAR_QUEUE_TIMEOUT, plan, failed)
            .await?;
        if let Some(windows) = recorded_windows {
            tracing::info!(windows, "calendar");
            self.refresh_view().await;
        }
        Ok(())
    }

    /// Returns the write that an operator requested, with the number of windows after it, or
    /// `None` if nothing needs to be written.
    fn plan_calendar_change(
        &self,
        asked: &CalendarChange,
    ) -> Result<ChangePlan<Option<usize>>, OperatorError> {
        let view = self.store.view();
        let Some(record) = self.changed_calendar(&view.calendar, asked)? else {
            return Ok(ChangePlan::Unchanged(None));
        };
        let write = RecordWrite {
            key: CALENDAR_KEY.into(),
            mod_revision: view.calendar.mod_revision,
            change: Change::write(CALENDAR_KEY.into(), &record, None),
        };
        Ok(ChangePlan::Write {
            write,
            outcome: Some(record.entries.len()),
        })
    }

    /// Returns the calendar's record after an operator's change, or `None` if the record does not
    /// change.
    fn changed_calendar(
        &self,
        recorded: &Versioned<Option<CalendarRecord>>,
        asked: &CalendarChange,
    ) -> Result<Option<CalendarRecord>, OperatorError> {
        if recorded.mod_revision > Revision(0) && recorded.value.is_none() {
            return Err(InvalidRequest::UnreadableCalendar.into());
        }
        match asked {
            CalendarChange::Pin(pin) => {
                let changed = CalendarRecord::pin(recorded.value.as_ref(), &pin.window);
                let Some(record) = changed.map_err(InvalidRequest::from)? else {
                    return Ok(None);
                };
                self.check_calendar(&record)?;
                Ok(Some(record))
            }
            CalendarChange::Unpin(unpin) => {
                let record = recorded.value.as_ref().ok_or(OperatorError::NoSuchWindow)?;
                let changed = record.unpin(&unpin.name).map_err(InvalidRequest::from)?;
                Ok(Some(changed.ok_or(OperatorError::NoSuchWindow)?))
            }
        }
    }
}
