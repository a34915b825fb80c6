//! The release calendar: the file, the steps of windows, operators' requests.

use std::rc::Rc;
use std::time::Duration;

use sorrelhinge_blocks::shard::BlockId;
use sorrelhinge_calendar::record::{CalendarRecord, Taken, CALENDAR_KEY};
use sorrelhinge_calendar::settings::{check_windows, Known};
use sorrelhinge_calendar::shown::{CalendarShown, PinWindow, UnpinWindow};
use tokio::time::sleep;

use super::drains::Refused;
use super::{core, wall_ms, Node};
use crate::state::{Change, Outcome, Urgency};
use crate::types::Revision;

/// How often windows are looked at.
const CALENDAR_INTERVAL: Duration = Duration::from_secs(1);
/// How long a change may take.
const PATIENCE: Duration = Duration::from_millis(1500);

/// What an operator asks to change.
#[derive(Debug, serde::Deserialize)]
#[serde(untagged)]
pub enum CalendarAsked {
    /// A window.
    Pin(Box<PinWindow>),
    /// No window.
    Unpin(UnpinWindow),
}

/// The time of day, in milliseconds since 1970.
pub fn day_ms() -> i64 {
    i64::try_from(wall_ms()).unwrap_or(i64::MAX)
}

impl Node {
    /// Keeps the calendar's record and takes the windows' steps.
    pub(super) async fn tend_calendar(self: Rc<Self>) {
        let Some(file) = self.cfg.calendar.clone() else {
            return;
        };
        let mut told = false;
        loop {
            sleep(CALENDAR_INTERVAL).await;
            if !self.store.view().loaded {
                continue;
            }
            self.take_file(&file, &mut told).await;
            let steps = {
                let view = self.store.view();
                let (wall, now) = (day_ms(), self.now());
                let mut steps = Vec::new();
                for c in self.shards.owned_mut().values_mut() {
                    c.look_at_windows(&view, wall, now);
                    steps.extend(c.window_steps());
                }
                steps
            };
            self.work.notify_one();
            for step in steps {
                self.take_step(step).await;
            }
        }
    }

    /// Writes the file's windows if they are newer than those recorded. Of several
    /// controllers with files the largest number wins, whoever starts when.
    async fn take_file(&self, file: &sorrelhinge_calendar::settings::Calendar, told: &mut bool) {
        let (stamp, taken) = {
            let view = self.store.view();
            let held = &view.calendar;
            // A record that can't be read at all is not written over.
            if held.stamp > Revision(0) && held.value.is_none() {
                return;
            }
            (held.stamp, CalendarRecord::take(held.value.as_ref(), file))
        };
        let record = match taken {
            Taken::Newer(record) => record,
            Taken::Differs if !*told => {
                *told = true;
                let number = file.number;
                tracing::error!(
                    number,
                    "calendar: the file differs at the same number: raise it"
                );
                return;
            }
            Taken::Later if !*told => {
                *told = true;
                tracing::error!("calendar: its record is of a later version");
                return;
            }
            Taken::Same | Taken::Differs | Taken::Older | Taken::Later => return,
        };
        // Machine types are known only once the cloud has told.
        if self.types.borrow().is_empty() {
            return;
        }
        if let Err(why) = self.check_calendar(&record) {
            if !*told {
                *told = true;
                tracing::error!(why, "calendar: the file is not taken");
            }
            return;
        }
        let change = Change::write(CALENDAR_KEY.into(), &record, None);
        match self
            .state
            .change(CALENDAR_KEY.into(), stamp, change, PATIENCE)
            .await
        {
            Ok(Outcome::Done(revision)) => {
                tracing::info!(
                    number = record.number,
                    windows = record.entries.len(),
                    "calendar"
                );
                self.peers.announce(revision);
                self.fresh().await;
            }
            // Another was faster; the view tells.
            Ok(Outcome::Failed(_)) => {
                self.fresh().await;
            }
            Err(error) => tracing::debug!(%error, "calendar"),
        }
    }

    fn check_calendar(&self, record: &CalendarRecord) -> Result<(), String> {
        let known = Known {
            types: self.types.borrow().clone(),
            ..self.cfg.calendar_known(day_ms())
        };
        let windows: Vec<_> = record.entries.iter().map(|e| e.window.clone()).collect();
        check_windows(&windows, &known).map_err(|e| e.to_string())?;
        let fits = record.fits(self.cfg.state_limits.value_bytes as u64 / 1024);
        fits.map_err(|e| e.to_string())
    }

    /// Records a step, if nobody else has.
    async fn take_step(&self, step: core::WindowStep) {
        match self.state.txn(&step.txn, Urgency::Within(PATIENCE)).await {
            Ok(Outcome::Done(revision)) => {
                let name = step.step.map_or("forgotten".into(), |s| s.to_string());
                tracing::info!(
                    window = step.window,
                    start_ms = step.start_ms,
                    step = name,
                    "calendar"
                );
                self.peers.announce(revision);
            }
            Ok(Outcome::Failed(_)) => {}
            // If it was carried out after all, the view tells.
            Err(error) => tracing::debug!(%error, "calendar"),
        }
        self.fresh().await;
    }

    /// What operators are shown; only the owner of block 0 knows all of it.
    pub fn show_calendar(&self) -> Result<CalendarShown, Refused> {
        if self.cfg.calendar.is_none() {
            return Err(Refused::NoCalendar);
        }
        let view = self.store.view();
        let cores = self.shards.owned();
        let Some(core) = cores.get(BlockId(0)) else {
            let owner = match view.block_count() {
                1 => view.leader.value.as_ref().map(|l| l.node.clone()),
                _ => view.blocks.get(&BlockId(0)).map(|b| b.value.owner.clone()),
            };
            let other = owner.filter(|o| *o != self.cfg.node);
            return Err(other.map_or(Refused::Unavailable, Refused::Elsewhere));
        };
        Ok(CalendarShown {
            number: view.calendar.value.as_ref().map_or(0, |c| c.number),
            owner: Some(self.cfg.node.to_string()),
            windows: core.windows_shown(day_ms()),
        })
    }

    /// Pins a window, or takes one out. The answer comes once it is recorded.
    pub async fn change_calendar(&self, asked: &CalendarAsked) -> Result<(), Refused> {
        if self.cfg.calendar.is_none() {
            return Err(Refused::NoCalendar);
        }
        if let CalendarAsked::Pin(pin) = asked {
            let checked = pin.window.check("window");
            checked.map_err(|e| Refused::Wrong(e.to_string()))?;
        }
        for _ in 0..4 {
            if !self.fresh().await {
                return Err(Refused::Unavailable);
            }
            let held = self.store.view().calendar.clone();
            if held.stamp > Revision(0) && held.value.is_none() {
                return Err(Refused::Wrong("the calendar's record can't be read".into()));
            }
            let changed = match asked {
                CalendarAsked::Pin(pin) => CalendarRecord::pin(held.value.as_ref(), &pin.window)
                    .map_err(|e| Refused::Wrong(e.to_string()))?,
                CalendarAsked::Unpin(unpin) => {
                    let record = held.value.as_ref().ok_or(Refused::NoWindow)?;
                    let changed = record.unpin(&unpin.name);
                    let changed = changed.map_err(|e| Refused::Wrong(e.to_string()))?;
                    Some(changed.ok_or(Refused::NoWindow)?)
                }
            };
            let Some(record) = changed else {
                return Ok(());
            };
            if matches!(asked, CalendarAsked::Pin(_)) {
                self.check_calendar(&record).map_err(Refused::Wrong)?;
            }
            let change = Change::write(CALENDAR_KEY.into(), &record, None);
            match self
                .state
                .change(CALENDAR_KEY.into(), held.stamp, change, PATIENCE)
                .await
            {
                Ok(Outcome::Done(revision)) => {
                    tracing::info!(windows = record.entries.len(), "calendar");
                    self.peers.announce(revision);
                    self.fresh().await;
                    return Ok(());
                }
                Ok(Outcome::Failed(_)) => {}
                Err(error) => {
                    tracing::info!(%error, "calendar");
                    return Err(Refused::Unavailable);
                }
            }
        }
        Err(Refused::Unavailable)
    }
}
