//! The lines to the workers: reports in, commands out, and what machines
//! there are.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use sorrelhinge_overload::reachability::Reachability;

use super::link::Link;
use super::{Core, Dispatch, Source, KILL_AGAIN_S, MOST_FLYING, SUSPECT_LEAST_S, SUSPECT_REPORTS};
use crate::sched::{Claim, Job, Machine, Progress, Sent};
use crate::state::view::View;
use crate::types::{
    JobId, JobSpec, Kind, MachineId, MachineType, Seq, Session, TaskId, Time, Token, TypeName, Zone,
};
use crate::worker::{Command, Orders, Reply, Report, ReportedTask, Sending, TaskPhase, Why};

impl Core {
    /// The cloud's machine types.
    pub fn set_types(&mut self, types: &[MachineType]) {
        self.types = types
            .iter()
            .map(|t| (t.name.clone(), Rc::new(t.clone())))
            .collect();
    }

    /// Whether the machine types are known.
    pub fn has_types(&self) -> bool {
        !self.types.is_empty()
    }

    pub(super) fn link(
        &mut self,
        id: &MachineId,
        addr: SocketAddr,
        kind: &TypeName,
        zone: &Zone,
        spot: bool,
        now: Time,
    ) -> Option<&mut Link> {
        if !self.links.contains_key(id) {
            let kind = self.types.get(kind)?.clone();
            self.coming.remove(id);
            let mut machine = Machine::new(kind, zone.clone(), spot, now);
            for (image, gb) in self.ran_before.remove(id).unwrap_or_default() {
                // That a task was placed there proves no fetch of minutes: taken
                // for one, the next start there named no source, and all that
                // had waited for their stage went to the origin after a takeover.
                let ran = !self.cluster_state.is_staged(gb);
                machine.cache.touch(&image, gb, machine.kind.cache_gb, ran);
            }
            let sort = (machine.kind.name.clone(), machine.zone.clone(), spot);
            self.cluster_state.add_machine(id.clone(), machine);
            if self.cluster_state.topology().is_some() {
                self.cluster_state.locate(id, Some(addr.ip()));
                let place = self.cluster_state.machines().get(id).map(|m| m.place);
                self.memory.came(sort, place.unwrap_or_default(), now);
            }
            let link = Link {
                addr,
                session: Session(1),
                seq: Seq(0),
                token: self.base_token(),
                seen: Token(0),
                last_heard: now,
                told_of: Seq(0),
                reachability: Reachability::default(),
                tasks: BTreeMap::new(),
                flying: false,
                direct_retry: now,
                direct_failures: 0,
                suspect: false,
                hangs: 0,
                doubted: false,
                passed: false,
                leaving: false,
                deleting: false,
                shunned_until: Time(0.0),
                errors: BTreeSet::new(),
                kill_sent: BTreeMap::new(),
                images: Vec::new(),
            };
            self.links.insert(id.clone(), link);
            self.wake(id);
        }
        self.links.get_mut(id)
    }

    fn has_tasks(&self, id: &MachineId) -> bool {
        let machine = self.cluster_state.machines().get(id);
        machine.is_some_and(|m| !m.claims.is_empty())
    }

    /// Whether tasks of services are on a machine.
    fn has_replicas(&self, id: &MachineId) -> bool {
        let machine = self.cluster_state.machines().get(id);
        machine.is_some_and(|m| {
            m.claims.iter().any(|t| {
                let job = self.cluster_state.job(&t.job);
                job.is_some_and(|j| j.spec.kind == Kind::Service)
            })
        })
    }

    /// Commands may have to go to a machine. After a takeover thousands are to
    /// be asked at once, so then those with replicas come first, then those
    /// with other tasks.
    pub(super) fn wake(&mut self, id: &MachineId) {
        let rank = match self.cluster_state.machines().get(id) {
            Some(m) if self.young => match (self.has_replicas(id), m.claims.is_empty()) {
                (true, _) => 0,
                (false, false) => 1,
                (false, true) => 2,
            },
            _ => 0,
        };
        self.active.insert((rank, id.clone()));
    }

    /// Whether a report is a copy that came late: not newer than what is known, or
    /// of a machine that is gone, whose name is never used again. Copies of a dead
    /// machine's last report made a machine of it again, and kept it.
    pub fn is_copy(&self, report: &Report) -> bool {
        if let Some(link) = self.links.get(&report.machine) {
            return (report.shift, report.tick) <= (link.session, link.seq);
        }
        let gone = &report.machine;
        self.deleted.contains_key(gone) || self.gone_before.contains(gone)
    }

    /// Whether nothing speaks against a machine hearing what it is told.
    pub fn hears(&self, id: &MachineId) -> bool {
        self.links
            .get(id)
            .is_none_or(|l| l.fenced() && !l.reachability.in_doubt())
    }

    /// Takes in a worker's report. False if a newer grant than ours commands
    /// the worker: that is so however late the report is, since only who has
    /// the newer grant sends its tokens.
    pub fn report(&mut self, report: &Report, source: Source, now: Time) -> bool {
        if report.baton.grant() > self.grant {
            return false;
        }
        if !self.shard.covers(&report.machine) || self.is_copy(report) {
            return true;
        }
        // Only a report with our token was certainly made under this grant. Any
        // other may be a copy from before of a machine that is long gone: once the
        // list tells what machines there are it makes none. The answer has the
        // token, and the next report shows it.
        let id = &report.machine;
        let shown = report.baton >= self.base_token() || self.coming.contains_key(id);
        if self.listed && !shown && !self.links.contains_key(id) {
            return true;
        }
        let (lease_s, hears_badly) = (self.cfg.lease_s, now < self.deaf_until);
        let Some(link) = self.link(
            &report.machine,
            report.addr,
            &report.build,
            &report.rack,
            report.loaners,
            now,
        ) else {
            return true;
        };
        let ended = report.shift > link.session && link.seq > Seq(0);
        let moved = link.addr != report.addr;
        link.addr = report.addr;
        link.session = report.shift;
        link.seq = report.tick;
        let took_up = report.baton > link.seen && report.baton.grant() == link.token.grant();
        link.seen = link.seen.max(report.baton);
        link.last_heard = now;
        link.told_of = Seq(0);
        (link.suspect, link.hangs) = (false, 0);
        link.passed = source == Source::Passed;
        // Only what comes from the worker itself shows that there is a way. Reports
        // that others took did too once: while the owner was cut off from all
        // workers, commands were tried directly after each of them.
        if source == Source::Beat {
            link.direct_retry = Time(link.direct_retry.0.min(now.0 + 1.0));
        }
        if report.warning_s.is_some() {
            link.leaving = true;
        }
        link.tasks = report
            .pieces
            .iter()
            .filter_map(|p: &ReportedTask| Some(((p.id()?, p.attempt), (p.phase, p.cause))))
            .collect();
        // That it reports is no sign that it hears: each report made a machine
        // usable again that no command reached.
        link.reachability.reported(now);
        if took_up {
            link.reachability.proved(now);
        }
        // Its leases end though its reports are answered: whatever runs there is
        // lost each time. While requests wait too long, answers may be too late.
        if ended && link.reachability.session_ended(lease_s, now) && !hears_badly {
            link.leaving = true;
        }
        link.images.clone_from(&report.images);
        self.hear_of_images(report);
        let Some(link) = self.links.get(&report.machine) else {
            return true;
        };
        let fenced = report.baton >= link.token;
        if moved {
            self.cluster_state
                .locate(&report.machine, Some(report.addr.ip()));
        }
        self.see_starts(&report.machine, now);
        if ended {
            self.session_ended(&report.machine, now);
        }
        if fenced {
            self.reconcile(&report.machine, source, now);
        }
        if let Some(link) = self.links.get_mut(&report.machine) {
            if link.fenced() && link.reachability.in_doubt() {
                // It has the present token and does nothing: a higher one has
                // to be taken up before anything more goes there.
                link.token = link.token.raised();
                link.doubted = true;
            } else if link.fenced() {
                link.doubted = false;
            }
        }
        self.wake(&report.machine);
        self.refresh_machine(&report.machine, now);
        true
    }

    /// A task that we started is in the report: the machine hears.
    fn see_starts(&mut self, id: &MachineId, now: Time) {
        let Some(link) = self
            .links
            .get_mut(id)
            .filter(|l| l.reachability.awaits_effect())
        else {
            return;
        };
        let began = self.cluster_state.claims_on(id).into_iter().any(|task| {
            self.cluster_state.claim_of(&task).is_some_and(|c| {
                matches!(c.sent, Sent::InReply | Sent::Flying)
                    && link.tasks.contains_key(&(task, c.attempt))
            })
        });
        if began {
            link.reachability.proved(now);
        }
    }

    /// A machine's session ended, and its tasks with it. What this owner sent there
    /// before was for that session, so it is gone, whatever token the worker has:
    /// on a deaf machine no report ever carries the present one. What a former
    /// owner started may belong to the new session, and waits for the token.
    fn session_ended(&mut self, id: &MachineId, now: Time) {
        for task in self.cluster_state.claims_on(id) {
            let ours = self
                .cluster_state
                .claim_of(&task)
                .is_some_and(|c| matches!(c.sent, Sent::Answered | Sent::InReply));
            if ours {
                tracing::info!(task = %task, machine = %id, "gone with its session");
                self.release(&task, now);
                self.walk_all = true;
            }
        }
    }

    /// Another controller heard a machine, and there was nothing new. A hint:
    /// it only spares the question whether the machine still answers. Each report
    /// counts once: told of again and again, a copy kept a dead machine alive.
    pub fn heard(&mut self, id: &MachineId, session: Session, seq: Seq, now: Time) {
        let Some(link) = self.links.get_mut(id) else {
            return;
        };
        if link.session == session && seq > link.seq.max(link.told_of) {
            link.told_of = seq;
            link.last_heard = now;
            (link.suspect, link.hangs) = (false, 0);
        }
    }

    pub(super) fn refresh_machine(&mut self, id: &MachineId, now: Time) {
        let silence = 2.5 * self.cfg.report_s + 1.0;
        let Some(link) = self.links.get(id) else {
            return;
        };
        let quiet_s = now.since(link.last_heard);
        if !link.suspect
            && quiet_s >= (SUSPECT_REPORTS * self.cfg.report_s).max(SUSPECT_LEAST_S)
            && self.has_tasks(id)
        {
            if let Some(link) = self.links.get_mut(id) {
                link.suspect = true;
            }
            self.wake(id);
        }
        let Some(link) = self.links.get(id) else {
            return;
        };
        let draining = self
            .cluster_state
            .machines()
            .get(id)
            .is_some_and(|m| m.draining);
        let silent = now.since(link.last_heard) >= silence;
        let usable = link.fenced()
            && !draining
            && !link.doubted
            && !link.leaving
            && !link.deleting
            && now >= link.shunned_until
            && !link.reachability.is_quarantined(now)
            && !silent;
        let leaving = link.leaving || link.deleting;
        let doubted = link.doubted;
        // Commands go there only in replies to its reports.
        let slow = link.passed || link.direct_failures > 0;
        let was = self
            .cluster_state
            .machines()
            .get(id)
            .map(|m| (m.usable, m.slow));
        if was.is_some_and(|was| was != (usable, slow)) {
            self.cluster_state.edit_machine(id, |m| {
                m.usable = usable;
                m.slow = slow;
            });
            self.touched.insert(id.clone());
            let place = self.cluster_state.machines().get(id).map(|m| m.place);
            if let (true, Some(t), Some(place)) = (silent, self.cluster_state.topology(), place) {
                self.stability.lost(&t.tree, place, now);
            }
        }
        if !leaving && !doubted && !draining {
            return;
        }
        self.wake(id);
        for task in self.cluster_state.claims_on(id) {
            let unsent = self
                .cluster_state
                .claim_of(&task)
                .is_some_and(|c| c.sent == Sent::No);
            if unsent {
                // It has a better place where commands get through.
                self.release(&task, now);
                self.walk_all = true;
            } else if leaving {
                self.cluster_state.stop(&task, false);
            }
        }
    }

    /// Compares the claims on a machine with an authoritative report: one
    /// that carries the token which fences all earlier commands.
    pub(super) fn reconcile(&mut self, id: &MachineId, source: Source, now: Time) {
        if !self.cluster_state.machines().contains_key(id) {
            return;
        }
        for task in self.cluster_state.claims_on(id) {
            let Some(job) = self.cluster_state.job(&task.job) else {
                continue;
            };
            let (spec, cancelled) = (job.spec.clone(), job.cancelled);
            let Some(claim) = self.cluster_state.claim_mut(&task) else {
                continue;
            };
            let Some(link) = self.links.get(id) else {
                return;
            };
            match link.tasks.get(&(task.clone(), claim.attempt)).copied() {
                Some((TaskPhase::Ended, why)) => {
                    self.ended(id, &task, &spec, why.unwrap_or(Why::Other), now);
                }
                Some((phase, _)) => {
                    claim.sent = Sent::Answered;
                    let waiting = phase == TaskPhase::Waiting;
                    let before = claim.progress;
                    claim.progress = match (phase, before) {
                        (TaskPhase::Fetching | TaskPhase::Waiting, _) => Progress::Fetching,
                        (TaskPhase::Saving, _) => Progress::Saving,
                        (_, Progress::Running(since)) => Progress::Running(since),
                        _ => Progress::Running(now),
                    };
                    let after = claim.progress;
                    if waiting || matches!(after, Progress::Running(_)) && before != after {
                        self.cluster_state.ran(&task);
                    }
                    if matches!(after, Progress::Running(_)) && before != after {
                        self.image_ran(&task);
                    }
                }
                None => match claim.sent {
                    Sent::No => {}
                    // Never started, or over. Its owner may have dropped it and
                    // given its limit, place or devices to another claim, and
                    // only that one may be in the record yet: so it is placed
                    // anew rather than started.
                    Sent::Found => {
                        self.release(&task, now);
                    }
                    // Only the next report of the worker's own shows whether
                    // it took a reply: a direct answer may overtake it.
                    Sent::InReply if source == Source::Direct => {}
                    // An answer is still to come, and tells.
                    Sent::Flying if link.flying => {}
                    Sent::Flying | Sent::InReply => {
                        claim.sent = Sent::No;
                        if cancelled || claim.stop.is_some() {
                            self.release(&task, now);
                        }
                    }
                    Sent::Answered => {
                        tracing::info!(task = %task, machine = %id, "task is gone");
                        self.release(&task, now);
                    }
                },
            }
        }
    }

    pub(super) fn ended(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        spec: &JobSpec,
        why: Why,
        now: Time,
    ) {
        self.release(task, now);
        if self
            .cluster_state
            .job(&task.job)
            .is_none_or(|j| j.cancelled)
        {
            return;
        }
        match why {
            Why::Done if spec.kind != Kind::Service => {
                let all_done = self.cluster_state.edit_job(&task.job, |job| {
                    job.tasks.set_done(task.index);
                    (job.failures, job.doubted) = (0, false);
                    job.tasks.all_done()
                });
                // Another block's jobs are done when that has read so.
                if all_done == Some(true) && self.shard.homes(&task.job) {
                    self.finished(task.job.clone(), now);
                }
                if let Some(link) = self.links.get_mut(id) {
                    link.errors.clear();
                }
            }
            Why::Error => self.failed(id, task, now),
            Why::Full | Why::InUse => {
                let until = now.after(2.0 * self.cfg.report_s);
                self.cluster_state.edit_job(&task.job, |job| {
                    job.avoid.insert(id.clone(), until);
                });
            }
            Why::NoSuch => {
                self.cluster_state.edit_job(&task.job, |job| {
                    job.failures += 1;
                    job.hold_until = now.after(f64::from(job.failures).exp2().min(30.0));
                });
            }
            Why::Done | Why::Stopped | Why::Peers | Why::Incomplete | Why::Other => {}
        }
        // Its task may have a place elsewhere.
        self.walk_all |= why != Why::Done;
        if why != Why::Done {
            tracing::info!(task = %task, machine = %id, ?why, "task ended");
        }
    }

    /// A task failed. Mostly the machine is faulty (PROTOCOL), so it is shunned,
    /// and given back once jobs that are sound failed there. A job that fails on
    /// several machines, and of which nothing ends well, is itself mistaken: it is
    /// held against no machine, and tried less and less often, until its user
    /// withdraws it.
    pub(super) fn failed(&mut self, id: &MachineId, task: &TaskId, now: Time) {
        let doubted = self.cluster_state.edit_job(&task.job, |job| {
            job.failures += 1;
            job.avoid.retain(|_, until| now < *until);
            job.avoid.insert(id.clone(), now.after(60.0));
            let mistaken = job.failures >= 3 && job.avoid.len() >= 3;
            let doubted = job.doubted;
            if mistaken && !doubted && job.spec.kind == Kind::Array {
                // However many of its tasks failed at once.
                (job.doubted, job.failures) = (true, 3);
            } else if doubted && !job.tasks.claims().is_empty() {
                // Of those that were started before it was doubted.
                job.failures -= 1;
            }
            if mistaken || doubted {
                let wait = f64::from(job.failures.min(6) - 2).exp2();
                job.hold_until = now.after((2.0 * wait).min(40.0));
            }
            (doubted, mistaken || doubted)
        });
        match doubted {
            Some((false, true)) => self.clear(&task.job),
            Some((true, _)) | None => {}
            Some((false, false)) => {
                let Some(link) = self.links.get_mut(id) else {
                    return;
                };
                link.errors.insert(task.job.clone());
                link.shunned_until = now.after(20.0 * link.errors.len() as f64);
                // A job that is not shown to be sound proves nothing: two
                // mistaken ones that met on a machine cost the machine once.
                let cluster_state = &self.cluster_state;
                let sound = |job: &&JobId| cluster_state.job(job).is_none_or(Job::is_sound);
                link.leaving |= link.errors.iter().filter(sound).count() >= 2;
            }
        }
    }

    /// A job's failures are held against no machine any more: it is mistaken, or
    /// was withdrawn.
    pub(super) fn clear(&mut self, job: &JobId) {
        for link in self.links.values_mut() {
            if link.errors.remove(job) && link.errors.is_empty() {
                link.shunned_until = Time(0.0);
            }
        }
    }

    /// The answer to a report: token and commands that need no hurry, and the
    /// starts if they can't be sent directly.
    pub fn reply(&mut self, id: &MachineId, view: &View, now: Time) -> Reply {
        let starts = self.links.get(id).is_some_and(|l| {
            !l.flying && (l.passed || l.direct_failures > 0 && now < l.direct_retry)
        });
        let orders = self.commands(id, view, starts.then_some(Sent::InReply), now);
        let starts = orders.iter().any(|o| matches!(o, Command::Start { .. }));
        let lease_s = self.cfg.lease_s;
        if let Some(link) = self.links.get_mut(id) {
            link.reachability.answered(lease_s, now);
            // Its next reports have to show that.
            if starts || !link.fenced() {
                link.reachability.asked(now);
            }
        }
        let token = self.links.get(id).map_or(self.base_token(), |l| l.token);
        Reply {
            baton: token,
            orders,
        }
    }

    /// Commands for a machine. Starts are included, and marked sent, if
    /// `starts` says how.
    ///
    /// Before a report carries the machine's present token nothing can be
    /// concluded from its list, so nothing is started or forgotten. What must
    /// not run is killed all the same: an answer without the kill would renew
    /// the lease of a cancelled job's task, and on a machine whose direct
    /// commands keep failing each failure raises the token again, so that no
    /// report ever carries it (`docs/incidents/fleet-x3-cancelled.md`).
    pub(super) fn commands(
        &mut self,
        id: &MachineId,
        view: &View,
        starts: Option<Sent>,
        now: Time,
    ) -> Vec<Command> {
        let mut orders = Vec::new();
        let Some(link) = self.links.get_mut(id) else {
            return orders;
        };
        let fenced = link.fenced();
        let in_reply = starts != Some(Sent::Flying);
        let Some(usable) = self.cluster_state.machines().get(id).map(|m| m.usable) else {
            return orders;
        };
        link.kill_sent.retain(|key, _| link.tasks.contains_key(key));
        for ((task, attempt), (phase, _)) in &link.tasks {
            let piece = task.to_string();
            let job = self.cluster_state.job(&task.job);
            let claim = job
                .and_then(|j| j.tasks.claims().get(&task.index))
                .filter(|c| c.attempt == *attempt && c.machine == *id);
            if *phase == TaskPhase::Ended {
                if !fenced {
                    continue;
                }
                // Only once the result is recorded, and while no start of
                // this attempt can still arrive: it would run again.
                if claim.is_none() && !super::record::recorded_claim(view, task, *attempt) {
                    orders.push(Command::Forget {
                        piece,
                        attempt: *attempt,
                    });
                }
                continue;
            }
            let grace = match claim {
                // Nobody claims it any more: it must not run on.
                None => Some(0.0),
                // Also when the cancellation was found in the record at a
                // takeover, and no change of the job was ever seen.
                Some(_) if job.is_some_and(|j| j.cancelled) => Some(0.0),
                Some(claim) => claim.stop,
            };
            let Some(mercy_s) = grace.filter(|g| fenced || *g == 0.0) else {
                continue;
            };
            let key = (task.clone(), *attempt);
            let saving = *phase == TaskPhase::Saving && mercy_s > 0.0;
            // An answer renews the lease of a task that must not run, so it always
            // has the kill: the direct command that had it last may be lost.
            let renews = in_reply && mercy_s == 0.0;
            let sent = link.kill_sent.get(&key);
            let due = renews || sent.is_none_or(|t| now.since(*t) >= KILL_AGAIN_S);
            if !saving && due {
                link.kill_sent.insert(key, now);
                orders.push(Command::Kill {
                    piece,
                    attempt: *attempt,
                    mercy_s,
                });
            }
        }
        if let (Some(sent), true) = (starts, usable && fenced) {
            orders.extend(self.start_commands(id, sent, now));
        }
        orders
    }

    /// Whether a task is claimed on its machine, recorded, and not started yet.
    fn start_is_due(&self, task: &TaskId) -> bool {
        let job = self.cluster_state.job(&task.job);
        let starts = job.is_some_and(|j| !j.cancelled && starts_now(j));
        let due = |c: &Claim| c.committed && c.sent == Sent::No && c.stop.is_none();
        starts && self.cluster_state.claim_of(task).is_some_and(due)
    }

    /// The starts that are due on a machine, marked as sent in this way.
    fn start_commands(&mut self, id: &MachineId, sent: Sent, now: Time) -> Vec<Command> {
        let mut tasks = self.cluster_state.claims_on(id);
        tasks.retain(|task| self.start_is_due(task));
        if now >= self.starts_until {
            if !tasks.is_empty() {
                self.starts_withheld.insert(id.clone());
            }
            return Vec::new();
        }
        tasks
            .iter()
            .filter_map(|task| self.start_command(id, task, sent, now))
            .collect()
    }

    /// The start of a task; none while it waits for its stage, which keeps nobody
    /// else waiting.
    fn start_command(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        sent: Sent,
        now: Time,
    ) -> Option<Command> {
        let spec = self.cluster_state.job(&task.job)?.spec.clone();
        let from = self.sources_for(id, &spec, now)?;
        let claim = self.cluster_state.claim_mut(task)?;
        claim.sent = sent;
        let units = claim.units.iter();
        Some(Command::Start {
            piece: task.to_string(),
            attempt: claim.attempt,
            units: units.map(|u| (u.0.clone(), u.1.clone())).collect(),
            from,
        })
    }

    /// Until when tasks may be started by what is known of the records: a task that
    /// starts later could be on its machine after `cancel_s`, if its job was
    /// cancelled through another controller meanwhile.
    pub fn may_start_until(&mut self, until: Time, now: Time) {
        self.starts_until = until;
        if now < until {
            let withheld = std::mem::take(&mut self.starts_withheld);
            self.active.extend(withheld.into_iter().map(|id| (0, id)));
        }
    }

    /// Direct commands that should go out now, so many at a time that neither
    /// sockets nor the processor are short for the reports that answer them.
    pub fn dispatch(&mut self, view: &View, now: Time) -> Vec<Dispatch> {
        let mut out = Vec::new();
        let mut waiting = BTreeSet::new();
        while self.flying < MOST_FLYING {
            let Some((_, id)) = self.active.pop_first() else {
                break;
            };
            let Some(link) = self.links.get(&id) else {
                continue;
            };
            if link.flying || link.deleting {
                // The answer brings it back.
                continue;
            }
            if now < link.direct_retry {
                let at = (link.direct_retry.0 * 1000.0).ceil().max(0.0) as u64;
                self.retries.insert((at, id));
                continue;
            }
            let most = if link.suspect {
                MOST_FLYING * 3 / 4
            } else {
                MOST_FLYING / 4
            };
            if link.direct_failures > 0 && self.flying >= most {
                // Those that may hang must not keep the others waiting.
                waiting.insert(((now.after(0.5).0 * 1000.0) as u64, id));
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
            if forgets_only && link.fenced() && link.direct_failures == 0 && !link.suspect {
                if !link.kill_sent.is_empty() {
                    waiting.insert(((now.after(KILL_AGAIN_S).0 * 1000.0) as u64, id));
                }
                continue;
            }
            link.flying = true;
            self.flying += 1;
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
        self.retries.extend(waiting);
        out
    }

    /// What became of direct commands. False if we are deposed.
    pub fn dispatched(&mut self, id: &MachineId, outcome: Sending, now: Time) -> bool {
        self.flying = self.flying.saturating_sub(1);
        let claims = self.cluster_state.claims_on(id);
        let Some(link) = self.links.get_mut(id) else {
            return true;
        };
        link.flying = false;
        self.active.insert((0, id.clone()));
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
                link.direct_failures = 0;
                link.reachability.proved(now);
                link.passed = false;
                link.direct_retry = now;
                // The session that took the command may end right after it;
                // the report decides what is there.
                mark(Sent::Flying, Sent::Answered);
                self.report(&report, Source::Direct, now)
            }
            Sending::Refused(report) => {
                link.direct_failures = 0;
                link.reachability.proved(now);
                // Not at once: a report that was overtaken leaves the session
                // as it was.
                link.direct_retry = now.after(0.02);
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
                    link.hangs = 0;
                } else {
                    // The commands may be carried out minutes late, unless a
                    // higher token gets there first. Until a report carries
                    // it, nothing on this machine is settled.
                    link.token = link.token.raised();
                    link.hangs += 1;
                }
                link.direct_failures += 1;
                link.doubted = true;
                // Its reports have to show the token.
                if !link.fenced() {
                    link.reachability.asked(now);
                }
                let pause = 0.25 * f64::from(link.direct_failures.min(5)).exp2();
                link.direct_retry = now.after(pause);
                tracing::info!(machine = %id, token = %link.token, "direct command failed");
                self.refresh_machine(id, now);
                true
            }
        }
    }
}

/// Whether a job's claimed tasks may be started: those of a gang only once all
/// of them are claimed, and each claim is recorded.
fn starts_now(job: &Job) -> bool {
    job.spec.kind != Kind::Gang
        || job.tasks.pending() == 0
            && job
                .tasks
                .claims()
                .values()
                .all(|c| c.committed && c.stop.is_none())
}
