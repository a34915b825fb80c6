//! Time that passes on a machine: leases end, and tasks go on.

use std::time::{Duration, Instant};

use super::Nodes;
use crate::history::Reason;
use crate::LEASE_S;

impl Nodes {
    /// A machine's incarnation ends with all its tasks, which were gone at `end`.
    pub(super) fn end_incarnation(&mut self, id: &str, end: Instant) {
        let node = self.all.get_mut(id).expect("it is there");
        node.incarnation += 1;
        node.answered = Instant::now();
        node.dirty = true;
        for (key, task) in std::mem::take(&mut node.tasks) {
            if task.phase != "ended" {
                self.note_left(id, &key, end.max(task.since), Reason::Ended);
            }
        }
    }

    /// Time passes on a machine: its lease may end, and unless it hangs its tasks go
    /// on.
    pub(super) fn advance(&mut self, id: &str) {
        let node = self.all.get_mut(id).expect("it is there");
        let now = Instant::now();
        let lease_end = node.answered + Duration::from_secs_f64(LEASE_S);
        if now > lease_end {
            // At its end, also if this routine was late.
            self.end_incarnation(id, lease_end);
        }
        if self.is_hung(id) {
            return;
        }
        let node = self.all.get_mut(id).expect("it is there");
        let (mut completed, mut failed) = (Vec::new(), Vec::new());
        for (key, task) in &mut node.tasks {
            let ran = now.duration_since(task.since).as_secs_f64();
            if task.phase == "fetching" && ran >= 0.1 {
                task.phase = "running".into();
                node.dirty = true;
            } else if task.phase == "running" && task.fails {
                task.phase = "ended".into();
                task.exit_reason = Some("error");
                failed.push(key.clone());
                node.dirty = true;
            } else if task.phase == "running" && ran >= 0.1 + task.run_s {
                task.phase = "ended".into();
                task.exit_reason = Some("done");
                completed.push(key.clone());
                node.dirty = true;
            }
        }
        for key in failed {
            self.note_left(id, &key, now, Reason::Ended);
        }
        for key in completed {
            self.note_left(id, &key, now, Reason::Done);
            self.done.insert(key.0);
        }
    }
}
