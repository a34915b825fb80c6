//! Heartbeats and their answers (PROTOCOL, "Workers -> controller nodes"): when one
//! is sent, to whom, what it says, and what its answer changes.

use sorrelhinge_protocol::types::{FencingToken, SequenceNumber, Time};
use sorrelhinge_protocol::worker::{Heartbeat, ReportedImage, ReportedTask};

use super::{Action, Answer, Core, Key, Note, SentHeartbeat};

/// Ticks reserved on disk at a time.
const TICKS_RESERVED: u64 = 1000;

/// The least time between two heartbeats.
const MIN_HEARTBEAT_INTERVAL_S: f64 = 0.5;

/// A controller that gave no answer is left for the next after this.
const RETRY_DELAY_S: f64 = 1.0;

/// The wait before a heartbeat goes to the controller that another named.
const REDIRECT_DELAY_S: f64 = 0.2;

/// An answer that takes longer does not come.
pub const ANSWER_TIMEOUT_S: f64 = 4.0;

/// Bytes of a heartbeat that tell of images: beside those of tasks (see `commands`) they
/// keep it below 64 KiB.
const MAX_IMAGES_BYTES: usize = 3 << 10;

/// Bytes of an image in a heartbeat, beside its name.
const IMAGE_BYTES: usize = 64;

impl Core {
    /// When the heartbeat under way was sent.
    pub fn sent(&self) -> Option<Time> {
        self.flying.map(|heartbeat| heartbeat.sent)
    }

    /// Images that are handed on now, the most wanted first. No change that is
    /// worth a heartbeat of its own: it is a hint, and goes along with the next.
    pub fn serves_images(&mut self, images: impl Iterator<Item = ReportedImage>) {
        let mut left = MAX_IMAGES_BYTES;
        let fits = |image: &ReportedImage| {
            let free_capacity = left.checked_sub(image.image.len() + IMAGE_BYTES);
            left = free_capacity.unwrap_or(0);
            free_capacity.is_some()
        };
        self.images = images.take_while(fits).collect();
    }

    /// Time has passed. `jitter`: from -0.25 to 0.25, how much sooner or later
    /// than usual the next heartbeat goes out.
    pub fn tick(&mut self, jitter: f64, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.check_lease(now, &mut actions);
        self.end_late_saves(now, &mut actions);
        if let Some(SentHeartbeat { sent, .. }) = self.flying {
            if now.since(sent) > ANSWER_TIMEOUT_S {
                self.no_answer(now);
            }
        }
        let due = now >= self.next && (now.since(self.reported) >= self.machine.report_s)
            || self.changed
                && now >= self.next
                && now.since(self.reported) >= MIN_HEARTBEAT_INTERVAL_S;
        if due && self.flying.is_none() && self.dying.is_empty() {
            self.reported = now;
            self.next = now;
            self.changed = false;
            self.flying = Some(SentHeartbeat {
                sent: now,
                incarnation: self.incarnation,
            });
            // The wait until the next is measured from this one.
            self.reported = now.after(jitter * self.machine.report_s);
            let heartbeat = self.heartbeat(&mut actions);
            actions.push(Action::Heartbeat(self.target, Box::new(heartbeat)));
        }
        actions
    }

    /// Ends the tasks whose saving takes longer than they were given.
    fn end_late_saves(&mut self, now: Time, actions: &mut Vec<Action>) {
        let late: Vec<Key> = self
            .tasks
            .iter()
            .filter(|(_, h)| h.save_until.is_some_and(|t| now >= t))
            .map(|(k, _)| k.clone())
            .collect();
        for key in late {
            if let Some(attempt_entry) = self.tasks.get_mut(&key) {
                attempt_entry.save_until = None;
            }
            actions.push(Action::Kill(key));
        }
    }

    /// What is here now.
    pub(super) fn heartbeat(&mut self, actions: &mut Vec<Action>) -> Heartbeat {
        self.sequence += 1;
        if self.sequence >= self.sequences_noted {
            self.sequences_noted = self.sequence + TICKS_RESERVED;
            actions.push(Action::Note(Note::Tick(self.sequences_noted)));
        }
        Heartbeat {
            machine: self.machine.name.clone(),
            addr: self.machine.addr,
            machine_type: self.machine.kind.clone(),
            zone: self.machine.zone.clone(),
            spot: self.machine.spot,
            incarnation: self.incarnation,
            sequence: SequenceNumber(self.sequence),
            fencing_token: self.fencing_token,
            preemption_notice_s: None,
            tasks: self
                .tasks
                .iter()
                .map(|(key, attempt_entry)| ReportedTask {
                    task_name: key.task_name.clone(),
                    attempt: key.attempt,
                    phase: attempt_entry.phase,
                    exit_reason: attempt_entry.exit_reason,
                })
                .collect(),
            images: self.images.clone(),
        }
    }

    /// No answer came: the next controller is asked, after a pause.
    fn no_answer(&mut self, now: Time) {
        self.flying = None;
        self.target = (self.target + 1) % self.machine.controllers.len().max(1);
        self.next = now.after(RETRY_DELAY_S);
        self.changed = true;
    }

    /// A heartbeat's outcome. One that comes after it was given up on, or of an
    /// earlier incarnation, changes nothing.
    pub fn answered(&mut self, sent: Time, answer: Answer, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.check_lease(now, &mut actions);
        let Some(heartbeat) = self.flying.filter(|heartbeat| heartbeat.sent == sent) else {
            return actions;
        };
        match answer {
            Answer::Reply(reply) => {
                self.flying = None;
                if heartbeat.incarnation != self.incarnation
                    || reply.fencing_token < self.fencing_token
                {
                    // It stays here while its lease runs out.
                    return actions;
                }
                self.answered = sent;
                actions.push(Action::Lease(sent));
                self.learn(reply.fencing_token, now, &mut actions);
                self.execute(&reply.commands, now, &mut actions);
            }
            Answer::Elsewhere(named) => self.redirect(named, now),
            Answer::None => self.no_answer(now),
        }
        actions
    }

    /// A controller named another: the heartbeat goes there, if it is one of ours.
    fn redirect(&mut self, named: Option<String>, now: Time) {
        let at = named.and_then(|n| {
            let mut names = self.machine.controllers.iter();
            names.position(|c| *c == n)
        });
        match at.filter(|at| *at != self.target) {
            Some(at) => {
                self.flying = None;
                self.target = at;
                self.changed = true;
                // A heartbeat that was sent on is not another one.
                self.reported = Time(f64::NEG_INFINITY);
                // Two that name each other are not asked all the time.
                self.next = now.after(REDIRECT_DELAY_S);
            }
            None => self.no_answer(now),
        }
    }

    /// Notes a fencing token, if it is higher than any before.
    pub(super) fn learn(
        &mut self,
        fencing_token: FencingToken,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        if fencing_token > self.fencing_token {
            self.fencing_token = fencing_token;
            actions.push(Action::Note(Note::FencingToken(fencing_token)));
            // A higher fencing token counts as a change at most once in half a lease.
            if now.since(self.fencing_token_announced) >= self.machine.lease_s / 2.0 {
                self.fencing_token_announced = now;
                self.changed = true;
            }
        }
    }
}
