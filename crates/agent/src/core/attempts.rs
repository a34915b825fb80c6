//! What becomes of an attempt: described, its image there, begun, ended, gone.

use std::net::SocketAddr;

use sorrelhinge_protocol::types::{Amount, Time};
use sorrelhinge_protocol::worker::{ExitReason, TaskPhase};

use super::{Action, Core, Exit, Key, Known, Needs, Note};

/// Results remembered at the most.
const MAX_RESULTS: usize = 10_000;

/// An attempt that is known here.
#[derive(Clone, Debug)]
pub(super) struct AttemptEntry {
    pub(super) phase: TaskPhase,
    pub(super) exit_reason: Option<ExitReason>,
    pub(super) needs: Option<Needs>,
    pub(super) units: Vec<(String, String)>,
    /// Other agents that may have its image.
    pub(super) from: Vec<SocketAddr>,
    /// It was told to stop.
    pub(super) stopping: bool,
    /// When saving has taken too long.
    pub(super) save_until: Option<Time>,
}

impl AttemptEntry {
    /// An attempt found after a start of the agent: it runs, or has ended.
    pub(super) fn recovered(known: Known, needs: Option<Needs>) -> Self {
        let phase = match known.ended {
            Some(_) => TaskPhase::Ended,
            None => TaskPhase::Running,
        };
        Self {
            phase,
            exit_reason: known.ended.map(|ending| ending.why),
            needs,
            units: known.units,
            from: Vec::new(),
            stopping: false,
            save_until: None,
        }
    }
}

impl Core {
    /// What all attempts that have not ended take of the machine.
    fn used(&self) -> Amount {
        let mut sum = Amount::default();
        for attempt_entry in self.tasks.values().filter(|h| h.phase != TaskPhase::Ended) {
            sum += attempt_entry.needs.map_or(Amount::default(), |n| n.each);
        }
        for each in self.dying.values() {
            sum += *each;
        }
        sum
    }

    /// An attempt has ended; `kept`: its progress was saved.
    pub(super) fn end(
        &mut self,
        key: &Key,
        why: ExitReason,
        kept: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt_entry) = self.tasks.get_mut(key) else {
            return;
        };
        attempt_entry.phase = TaskPhase::Ended;
        attempt_entry.exit_reason = Some(why);
        attempt_entry.save_until = None;
        self.changed = true;
        actions.push(Action::Note(Note::Ended(key.clone(), why, kept)));
        actions.push(Action::Release(key.clone()));
        if why == ExitReason::Done {
            if self.results.len() >= MAX_RESULTS {
                self.results.pop_first();
            }
            self.results.insert(key.task_name.clone());
        }
    }

    /// A task's description was found, or why it can't be run.
    pub fn described(
        &mut self,
        key: &Key,
        needs: Result<Needs, ExitReason>,
        now: Time,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        self.check_lease(now, &mut actions);
        let waits = |h: &AttemptEntry| h.phase == TaskPhase::Fetching && h.needs.is_none();
        if !self.tasks.get(key).is_some_and(waits) {
            return actions;
        }
        let free = self.machine.total - self.used();
        match needs {
            Err(why) => self.end(key, why, false, &mut actions),
            Ok(needs) if !needs.each.fits(free) => {
                self.end(key, ExitReason::Full, false, &mut actions);
            }
            Ok(needs) => {
                let mut from = Vec::new();
                if let Some(attempt_entry) = self.tasks.get_mut(key) {
                    attempt_entry.needs = Some(needs);
                    from = std::mem::take(&mut attempt_entry.from);
                }
                if needs.image {
                    // Its room is its own from now on.
                    actions.push(Action::Image(key.clone(), from));
                } else {
                    self.begin(key, &mut actions);
                }
            }
        }
        actions
    }

    /// An attempt has all that it needs: it runs.
    fn begin(&mut self, key: &Key, actions: &mut Vec<Action>) {
        if let Some(attempt_entry) = self.tasks.get_mut(key) {
            attempt_entry.phase = TaskPhase::Running;
            self.changed = true;
            actions.push(Action::Run(key.clone(), attempt_entry.units.clone()));
        }
    }

    /// A task's image is there, whole; or it can't be had.
    pub fn imaged(&mut self, key: &Key, there: bool, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.check_lease(now, &mut actions);
        let waits =
            |h: &AttemptEntry| h.phase == TaskPhase::Fetching && h.needs.is_some_and(|n| n.image);
        if self.tasks.get(key).is_some_and(waits) {
            if there {
                self.begin(key, &mut actions);
            } else {
                self.end(key, ExitReason::Error, false, &mut actions);
            }
        }
        actions
    }

    /// A task's processes are gone, all of them.
    pub fn gone(&mut self, key: &Key, exit: Exit, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.dying.remove(key).is_some() {
            actions.push(Action::Release(key.clone()));
            actions.push(Action::Note(Note::Forgot(key.clone())));
            actions.push(Action::Clean(key.clone()));
            self.changed = true;
        }
        self.check_lease(now, &mut actions);
        let Some(attempt_entry) = self.tasks.get(key).filter(|h| has_process(h)) else {
            return actions;
        };
        // A result that was reached is a result, whatever came meanwhile.
        let (why, kept) = match exit {
            Exit::Done => (ExitReason::Done, false),
            Exit::Saved => (ExitReason::Stopped, true),
            _ if attempt_entry.stopping => (ExitReason::Stopped, false),
            // Nothing speaks against the machine, or the job.
            Exit::Never => (ExitReason::Stopped, false),
            Exit::Failed | Exit::Killed => (ExitReason::Error, false),
        };
        self.end(key, why, kept, &mut actions);
        actions
    }
}

/// Whether a task's process was started, or is about to be.
pub(super) fn has_process(attempt_entry: &AttemptEntry) -> bool {
    matches!(attempt_entry.phase, TaskPhase::Running | TaskPhase::Saving)
}
