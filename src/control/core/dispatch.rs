//! Commands sent to workers directly, and what became of them (PROTOCOL,
//! "Controller nodes -> workers").

use super::command_queue::ContactOrder;
use super::link::KILL_AGAIN_S;
use super::{Core, Dispatch, Source};
use crate::sched::Sent;
use crate::state::view::View;
use crate::types::{MachineId, Time};
use crate::worker::{Command, Orders, Sending};

impl Core {
    /// Direct commands that should go out now, so many at a time that neither
    /// sockets nor the processor are short for the reports that answer them.
    pub fn dispatch(&mut self, view: &View, now: Time) -> Vec<Dispatch> {
        let mut out = Vec::new();
        while let Some(id) = self.command_queue.take_next() {
            let Some(link) = self.links.get(&id) else {
                continue;
            };
            if link.direct.is_in_flight() || link.deleting {
                // The answer brings it back.
                continue;
            }
            if now < link.direct.retry_at() {
                self.command_queue.retry_at(id, link.direct.retry_at());
                continue;
            }
            let suspect = link.direct.is_suspect();
            if link.direct.is_failing() && !self.command_queue.may_try_unreachable(suspect) {
                self.command_queue.retry_unreachable(id, now);
                continue;
            }
            if link.passed && link.fenced() {
                // The reply to its next report takes the commands there.
                continue;
            }
            let orders = self.commands(&id, view, Some(Sent::Flying), now);
            let Some(link) = self.links.get_mut(&id) else {
                continue;
            };
            let forgets_only = orders.iter().all(|o| matches!(o, Command::Forget { .. }));
            // Forgetting waits for the next report; a worker that does not
            // know our token is told at once, and one that a command did not
            // reach is tried again.
            if forgets_only && link.fenced() && !link.direct.is_failing() && !suspect {
                if !link.sent_kills.is_empty() {
                    self.command_queue.retry_after(id, KILL_AGAIN_S, now);
                }
                continue;
            }
            link.direct.sent();
            self.command_queue.sent();
            out.push(Dispatch {
                machine: id,
                addr: link.addr,
                orders: Orders {
                    baton: link.token,
                    shift: link.session,
                    orders,
                },
            });
        }
        out
    }

    /// What became of direct commands. False if we are deposed.
    pub fn dispatched(&mut self, id: &MachineId, outcome: Sending, now: Time) -> bool {
        self.command_queue.settled();
        let claims = self.cluster_state.claims_on(id);
        let Some(link) = self.links.get_mut(id) else {
            return true;
        };
        link.direct.settled();
        self.command_queue.add(id.clone(), ContactOrder::First);
        let mut mark = |from: Sent, to: Sent| {
            for task in &claims {
                if let Some(c) = self
                    .cluster_state
                    .claim_mut(task)
                    .filter(|c| c.sent == from)
                {
                    c.sent = to;
                }
            }
        };
        match outcome {
            Sending::Executed(report) => {
                link.direct.executed(now);
                link.reachability.proved(now);
                link.passed = false;
                // The session that took the command may end right after it;
                // the report decides what is there.
                mark(Sent::Flying, Sent::Answered);
                self.report(&report, Source::Direct, now)
            }
            Sending::Refused(report) => {
                link.direct.refused(now);
                link.reachability.proved(now);
                let inherited = !link.fenced();
                if !inherited {
                    mark(Sent::Flying, Sent::No);
                }
                self.report(&report, Source::Direct, now)
            }
            Sending::NotSent | Sending::Unknown => {
                if matches!(outcome, Sending::NotSent) {
                    // Claims found at the takeover stay in doubt until a
                    // report carries our token.
                    if link.fenced() {
                        mark(Sent::Flying, Sent::No);
                        // It may report on and hear nothing. Whether it does,
                        // the token shows, by whatever way it gets there.
                        if !link.reachability.is_confirmed(self.cfg.report_s, now) {
                            link.token = link.token.raised();
                        }
                    }
                } else {
                    // The commands may be carried out minutes late, unless a
                    // higher token gets there first. Until a report carries
                    // it, nothing on this machine is settled.
                    link.token = link.token.raised();
                }
                link.direct.failed(matches!(outcome, Sending::Unknown), now);
                link.doubted = true;
                // Its reports have to show the token.
                if !link.fenced() {
                    link.reachability.asked(now);
                }
                tracing::info!(machine = %id, token = %link.token, "direct command failed");
                self.refresh_machine(id, now);
                true
            }
        }
    }
}
