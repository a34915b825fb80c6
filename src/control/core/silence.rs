//! Decides whether a silent machine is evidence of a failure, or whether this controller may be
//! the cause.

use super::agent::AgentState;
use super::Core;
use crate::types::Time;

/// Age of the last heartbeat, in heartbeat intervals, below which a machine counts as
/// reporting.
const RECENT_HEARTBEATS: f64 = 2.5;
/// Number of unanswered direct connections after which a machine counts as unresponsive.
const MAX_UNANSWERED_CONNECTIONS: u32 = 2;
/// Number of heartbeat intervals without a heartbeat after which a machine with one unanswered
/// direct connection counts as unresponsive.
const UNANSWERED_SILENCE_HEARTBEATS: f64 = 2.2;
/// Factor by which the owner waits longer for silent machines if most machines are silent, or if
/// heartbeats wait to be read. Other controllers may renew the leases of these machines meanwhile,
/// and their deletion would end tasks that run.
const MOST_SILENT_FACTOR: f64 = 6.0;

/// What the silence of a machine proves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum SilenceEvidence {
    /// Nothing, because the owner does not listen for long enough.
    None,
    /// A machine that is silent is lost, because most machines report.
    OfMachine,
    /// Most machines are silent, so nothing may reach this controller, or heartbeats wait too long
    /// to be read. After `patience_s` seconds a silent machine counts as lost all the same, because its tasks would otherwise wait for it
    /// for good. The machines are replaced one after the other, so that most of a large fleet is
    /// kept if the controller is cut off.
    OfMachineOrOwner { patience_s: f64 },
}

/// Time until which the owner ignores silent machines because requests waited too long to be
/// read.
pub(super) struct IgnoredSilence {
    until: Time,
}

impl IgnoredSilence {
    /// Returns a state that ignores no silence. From `now` on, a machine's silence may be evidence
    /// of a failure.
    pub(super) fn none(now: Time) -> Self {
        Self { until: now }
    }

    /// Ignores silent machines until the given time.
    fn extend(&mut self, until: Time) {
        self.until = until;
    }

    /// Returns whether the owner ignores silent machines now.
    pub(super) fn is_on(&self, now: Time) -> bool {
        now < self.until
    }
}

impl Core {
    /// Ignores silent machines for a while. Requests wait too long to be read, so heartbeats
    /// may be missing.
    pub fn ignore_silence(&mut self, now: Time) {
        self.ignored_silence.extend(now.after(self.cfg.silent_s()));
    }

    /// Returns what a machine's silence proves now. It proves less while requests wait too long to
    /// be read. The number of machines may then be too large for the controllers. If the owner
    /// replaced all silent machines by new ones, that number would not fall.
    pub(super) fn silence_evidence(&self, now: Time) -> SilenceEvidence {
        let silent_s = self.cfg.silent_s();
        if self.failover.age_s(now) <= silent_s {
            return SilenceEvidence::None;
        }
        let limit_s = RECENT_HEARTBEATS * self.cfg.heartbeat_s;
        let most_reported = self.agents.most_reported_within(limit_s, now);
        if most_reported && !self.ignored_silence.is_on(now) {
            SilenceEvidence::OfMachine
        } else {
            SilenceEvidence::OfMachineOrOwner {
                patience_s: MOST_SILENT_FACTOR * silent_s,
            }
        }
    }

    /// Marks machines for deletion that are silent for too long or hang.
    pub(super) fn scale_in_silent(&mut self, evidence: SilenceEvidence, now: Time) {
        match evidence {
            SilenceEvidence::None => {}
            SilenceEvidence::OfMachine => self.scale_in_each_silent(now),
            SilenceEvidence::OfMachineOrOwner { patience_s } => {
                self.scale_in_longest_silent(patience_s, now);
            }
        }
    }

    /// Marks all machines for deletion that are silent for longer than a lease or hang.
    fn scale_in_each_silent(&mut self, now: Time) {
        for (id, agent) in self.agents.iter_mut() {
            let quiet_s = agent.silence_s(now);
            let unanswered_connections =
                unanswered_connections(agent, quiet_s, self.cfg.heartbeat_s);
            if unanswered_connections && !agent.is_deleting() {
                tracing::info!(machine = %id, quiet_s, "machine unresponsive; scaling in");
            }
            if quiet_s > self.cfg.silent_s() || unanswered_connections {
                agent.begin_deletion();
            }
        }
    }

    /// Marks the machine for deletion that is silent for the longest time, if that is longer than
    /// `patience_s` seconds.
    fn scale_in_longest_silent(&mut self, patience_s: f64, now: Time) {
        let kept = self.agents.iter_mut().filter(|(_, a)| !a.is_deleting());
        let longest =
            kept.max_by(|(_, one), (_, other)| one.silence_s(now).total_cmp(&other.silence_s(now)));
        let Some((id, agent)) = longest else { return };
        let quiet_s = agent.silence_s(now);
        if quiet_s > patience_s {
            tracing::info!(machine = %id, quiet_s, "machine silent for long; scaling in");
            agent.begin_deletion();
        }
    }
}

/// Returns whether a machine accepts connections and does not answer. `quiet_s` is the age of
/// its last heartbeat in seconds.
fn unanswered_connections(agent: &AgentState, quiet_s: f64, heartbeat_s: f64) -> bool {
    let long = agent.direct.unanswered_connections() == 1
        && quiet_s > UNANSWERED_SILENCE_HEARTBEATS * heartbeat_s;
    agent.direct.is_suspect()
        && (agent.direct.unanswered_connections() >= MAX_UNANSWERED_CONNECTIONS || long)
}
