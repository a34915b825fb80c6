//! Leases renewed for an owner that has no time; what may be answered so is
//! decided in `sorrelhinge_overload::renewal`.

use std::rc::Rc;
use std::time::Duration;

use sorrelhinge_overload::renewal::{Content, Route};
use tokio::time::sleep;

use super::vouching::vouches;
use super::{load, Beat, Node};
use crate::peer;
use crate::peer::HeardOf;
use crate::types::{NodeId, Time};
use crate::worker::{Reply, Report};

/// How often an owner is told which machines were heard.
const HEARD_NOTICE_INTERVAL: Duration = Duration::from_millis(500);

impl Node {
    /// Whether this controller's view of the records is new enough to answer
    /// workers without the state service: beyond this, a job may have been
    /// cancelled elsewhere, and leases must be able to end its tasks in time
    /// (`sorrelhinge_overload::freshness`). Asked before each answer, for a report
    /// that has come.
    pub(super) fn knows_the_cancelled(&self) -> bool {
        let (lease_s, cancel_s) = (self.cfg.lease_s, self.cfg.cancel_s);
        let freshness = self.store.freshness();
        self.store.view().loaded && freshness.may_answer_workers(self.now(), lease_s, cancel_s)
    }

    /// Until when tasks may be started by this controller's view of the records.
    pub(super) fn starts_until(&self) -> Time {
        let (lease_s, cancel_s) = (self.cfg.lease_s, self.cfg.cancel_s);
        self.store.freshness().may_start_until(lease_s, cancel_s)
    }

    /// Whether a worker's lease may be renewed without its machine's owner. The answer
    /// carries the token that the worker has, so it commands nothing and fences nobody.
    fn vouched(&self, report: &Report) -> bool {
        self.knows_the_cancelled() && vouches(&self.store.view(), report)
    }

    /// The answer that only renews the lease, if that may be given.
    pub(super) fn renewed(&self, report: &Report) -> Option<Beat> {
        self.vouched(report).then(|| {
            load::count(&self.load.counts.renewed);
            Beat::Reply(Reply {
                fencing_token: report.fencing_token,
                commands: Vec::new(),
            })
        })
    }

    /// Takes a report for `owner`, who asked for it: hands it on, or, if it
    /// tells nothing new and the owner is short of time, answers it. An owner
    /// that does not answer in time costs no lease.
    pub(super) async fn beat_for(&self, owner: NodeId, report: &Report, body: &[u8]) -> Beat {
        let content = Content::of(report);
        let relief = self.peer_statuses.standing_of(&owner).relief;
        let routing = &self.heartbeat_routing;
        let route = routing.route(
            &report.machine,
            content,
            relief,
            self.cfg.report_s,
            self.now(),
        );
        if route == Route::Renew {
            let heard = HeardOf::new(&report.machine, report.incarnation, report.sequence);
            if let Some((heard, answer)) = heard.and_then(|h| Some((h, self.renewed(report)?))) {
                routing.answered_for(owner, heard);
                return answer;
            }
        }
        let kind = peer::Kind::Homed;
        let taken = self.peers.pass_on(&owner, kind, body.to_vec()).await;
        match taken.filter(|a| a.status == 200) {
            Some(answered) => {
                routing.answered_by_owner(&report.machine, content, self.now());
                Beat::Passed(answered)
            }
            // Not sent to the owner, which would have all come at once; and a
            // 503 would have them go round the controllers.
            None => self.renewed(report).unwrap_or(Beat::Unavailable),
        }
    }

    /// Tells owners which machines were heard for them.
    pub(super) async fn tell_heard(self: Rc<Self>) {
        loop {
            sleep(HEARD_NOTICE_INTERVAL).await;
            for (owner, heard) in self.heartbeat_routing.take_answered_for() {
                self.peers.heard(&owner, &heard);
            }
        }
    }

    /// Another controller heard machines of this one's, and they had nothing
    /// new to tell.
    pub fn heard_of(&self, machines: &[HeardOf]) {
        let now = self.now();
        let mut cores = self.shards.owned_mut();
        for (machine, session, sequence) in machines.iter().filter_map(HeardOf::read) {
            if let Some(c) = cores.get_mut(self.block_of(&machine)) {
                c.heard(&machine, session, sequence, now);
            }
        }
    }
}
