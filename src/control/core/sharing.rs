//! Several blocks: what of a job others hold, what is left to them or to this
//! block, its part of the limits, and handing it on.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use sorrelhinge_blocks::delegation::{Delegated, Delegation, Waiting, ACCEPTED_S, DELEGATED_S};
use sorrelhinge_blocks::slices::Need;

use super::Core;
use crate::sched::{Machine, Sent};
use crate::shares::LeftTo;
use crate::state::record::{block_key, ChunkRecord, Phase};
use crate::state::view::{JobEntry, View};
use crate::types::{Amount, Attempt, JobId, Kind, MachineId, TaskId, Time, Zone};

/// In which zone machines of all blocks are, as far as it was heard.
pub type Places = Rc<std::cell::RefCell<HashMap<MachineId, Zone>>>;

/// Tasks of one job, until a time.
struct Until {
    tasks: BTreeSet<u32>,
    end: Time,
}

/// What goes between this block and others.
#[derive(Default)]
pub(super) struct Sharing {
    /// Tasks of this block's jobs that others may place.
    left: BTreeMap<JobId, Vec<Until>>,
    /// Tasks of others' jobs that this block may place.
    taken: BTreeMap<JobId, Vec<Until>>,
    /// Given away of each team's part of the limit, in a transaction whose
    /// outcome is not known yet.
    given: Vec<Amount>,
    delegation: Delegation,
}

/// At the most so many tasks are left in one message.
const MOST_LEFT: u32 = 64;
/// At the most so many jobs are looked at for that.
const MOST_JOBS: usize = 16;

impl Core {
    /// The key of this block's grant.
    pub(super) fn grant_key(&self) -> String {
        if self.shard.is_part() {
            block_key(self.shard.block)
        } else {
            crate::state::record::GRANT.into()
        }
    }

    /// Whether the block is still granted to this owner. An offer changes the
    /// record, and not the grant.
    pub fn still_granted(&mut self, view: &View) -> bool {
        if !self.shard.is_part() {
            return view.block_count() == 1 && view.grant.stamp == self.grant_stamp;
        }
        let held = view.blocks.get(&self.shard.block);
        match held.filter(|b| b.value.number == self.grant && b.value.owner == self.cfg.node) {
            Some(held) if view.block_count() == self.shard.of => {
                self.grant_stamp = held.stamp;
                true
            }
            _ => false,
        }
    }

    /// Whether a record claims tasks on this block's machines.
    pub(super) fn claims_here(&self, entry: &JobEntry) -> bool {
        let mut chunks = entry.all_chunks();
        chunks.any(|(_, chunk)| self.claims_in(chunk, true))
    }

    /// What others hold of a job, by its record, and what is left to whom.
    pub(super) fn share(&mut self, id: &JobId, entry: &JobEntry) {
        if !self.shard.is_part() {
            return;
        }
        let Some(job) = self.cluster_state.job(id) else {
            return;
        };
        let size = entry.record.value.chunk.max(1);
        let left = self.sharing.left.get(id).into_iter().flatten();
        let mut foreign: BTreeSet<u32> = left.flat_map(|u| u.tasks.iter().copied()).collect();
        for (chunk, held) in entry.all_chunks() {
            let theirs = held
                .claims
                .iter()
                .filter(|c| !self.shard.covers(&c.machine));
            foreign.extend(theirs.map(|c| chunk * size + c.place));
        }
        let mut zones = Some(BTreeMap::new());
        if job.spec.spread || job.spec.one_zone {
            let known = self.places.borrow();
            for claim in entry.all_chunks().flat_map(|(_, c)| &c.claims) {
                if self.shard.covers(&claim.machine) {
                    continue;
                }
                let zone = known.get(&claim.machine).cloned();
                zones = zone.zip(zones).map(|(zone, mut zones)| {
                    *zones.entry(zone).or_insert(0) += 1;
                    zones
                });
            }
        }
        foreign.retain(|i| !job.tasks.is_done(*i) && !job.tasks.claims().contains_key(i));
        let taken = self.sharing.taken.get(id).into_iter().flatten();
        let taken = taken.flat_map(|u| u.tasks.iter().copied()).collect();
        let left_here = (!self.shard.homes(id)).then_some(taken);
        self.cluster_state.share_job(id, foreign, left_here);
        self.cluster_state.set_elsewhere(id, zones);
    }

    /// More is known of where other blocks' machines are.
    pub fn look_elsewhere(&mut self, view: &View) {
        let jobs: Vec<JobId> = self.cluster_state.unknown_elsewhere().cloned().collect();
        for id in jobs {
            if let Some(entry) = view.job(&id) {
                self.share(&id, entry);
            }
        }
    }

    /// Whether tasks of a gang are claimed: the machines are not divided then,
    /// as one core must see all of a gang.
    pub fn holds_gangs(&self) -> bool {
        let mut jobs = self.cluster_state.jobs().values();
        jobs.any(|j| j.spec.kind == Kind::Gang && !j.tasks.claims().is_empty())
    }

    /// In which zone each machine is.
    pub fn zones(&self) -> impl Iterator<Item = (&MachineId, &Zone)> {
        let machines = self.cluster_state.machines().iter();
        machines.map(|(id, m)| (id, &m.zone))
    }

    /// A job's record changed: another block may have claimed or done some of
    /// its tasks. What is claimed here and not recorded gives way; whoever wrote
    /// first has the task, as each write is on the condition of the one before.
    pub(super) fn catch_up(&mut self, id: &JobId, entry: &JobEntry, now: Time) {
        if !self.shard.is_part() {
            return;
        }
        let size = entry.record.value.chunk.max(1);
        self.cluster_state.share_job(id, BTreeSet::new(), None);
        let chunks: Vec<(u32, ChunkRecord)> =
            entry.all_chunks().map(|(n, c)| (n, c.clone())).collect();
        for (chunk, held) in chunks {
            let from = chunk * size;
            let Some(job) = self.cluster_state.job(id) else {
                return;
            };
            let own = job.tasks.claims().range(from..from + size);
            let open: Vec<(u32, Attempt)> = own
                .filter(|(_, c)| !c.committed)
                .map(|(&index, c)| (index, c.attempt))
                .collect();
            self.cluster_state.edit_job(id, |job| {
                let next = job.tasks.next_attempt(chunk).max(held.next_attempt);
                job.tasks.set_next_attempt(chunk, next);
            });
            for (index, attempt) in open {
                let place = index - from;
                let task = TaskId {
                    job: id.clone(),
                    index,
                };
                let recorded = held.claims.iter().find(|c| c.place == place);
                if recorded.is_some_and(|c| c.attempt == attempt && self.shard.covers(&c.machine)) {
                    continue;
                }
                if recorded.is_some() || held.done >> place & 1 == 1 {
                    self.release(&task, now);
                } else if attempt.0 < held.next_attempt {
                    self.cluster_state.renumber(&task);
                }
            }
            self.cluster_state.edit_job(id, |job| {
                for place in (0..size.min(64)).filter(|p| held.done >> p & 1 == 1) {
                    if !job.tasks.claims().contains_key(&(from + place)) {
                        job.tasks.set_done(from + place);
                    }
                }
            });
        }
        self.share(id, entry);
        let live = entry.record.value.phase == Phase::Live;
        let all_done = self
            .cluster_state
            .job(id)
            .is_some_and(|j| j.tasks.all_done());
        if live && all_done && self.shard.homes(id) {
            self.finished(id.clone(), now);
        }
        self.walk_all = true;
    }

    // ---- limits ---------------------------------------------------------

    /// Takes up this block's part of the limits, as recorded, less what is being
    /// given away. Guarantees are divided in the same proportion.
    pub fn look_at_limits(&mut self, view: &View) {
        if !self.shard.is_part() {
            return;
        }
        let record = view.slices.get(&self.shard.block).map(|s| &s.value);
        let given = &self.sharing.given;
        let blocks = i64::from(self.shard.of.max(1));
        let parts = self.cfg.teams.iter().enumerate().map(|(i, t)| {
            let held = record.map_or(Amount::default(), |r| r.of(&t.name));
            let given = given.get(i).copied().unwrap_or_default();
            // Of no limit there are no parts, whatever is recorded.
            let part = |held: i64, given: i64, whole: i64, guarantee: i64| {
                if whole == Amount::NO_LIMIT {
                    return (whole, guarantee / blocks);
                }
                let share = i128::from(held.max(0)) * i128::from(guarantee);
                (held - given, (share / i128::from(whole.max(1))) as i64)
            };
            let cpu = part(held.cpu, given.cpu, t.limit.cpu, t.guarantee.cpu);
            let gpu = part(held.gpu, given.gpu, t.limit.gpu, t.guarantee.gpu);
            let amount = |cpu, gpu, ram| Amount { cpu, gpu, ram };
            (
                amount(cpu.0, gpu.0, 0),
                amount(cpu.1, gpu.1, t.guarantee.ram),
            )
        });
        let parts: Vec<(Amount, Amount)> = parts.collect();
        let now = self
            .cluster_state
            .teams()
            .iter()
            .map(|t| (t.limit, t.guarantee));
        if !now.eq(parts.iter().copied()) {
            self.cluster_state.set_limits(parts.into_iter());
            self.walk_all = true;
        }
    }

    /// What each team uses here, and what of it waits; the recorded part is
    /// not among it.
    pub fn needs(&self) -> Vec<Need> {
        let teams = self
            .cluster_state
            .teams()
            .iter()
            .zip(self.cluster_state.demands());
        teams
            .map(|(t, waits)| Need {
                slice: Amount::default(),
                used: t.used,
                waits: *waits,
            })
            .collect()
    }

    /// Lowers what is placed up to, before a part of the limits is given away;
    /// nothing given: takes up what is recorded.
    pub fn giving(&mut self, given: Vec<Amount>, view: &View) {
        self.sharing.given = given;
        self.look_at_limits(view);
    }

    // ---- room -----------------------------------------------------------

    /// Thousandths of a CPU that are free beyond this block's own work.
    pub fn spare_cpu(&self) -> i64 {
        if self.cluster_state.has_work() || self.frozen_since.is_some() {
            return 0;
        }
        let kept = |m: &Machine| if m.usable { m.kept.cpu } else { 0 };
        let kept: i64 = self.cluster_state.machines().values().map(kept).sum();
        let used: i64 = self.cluster_state.teams().iter().map(|t| t.used.cpu).sum();
        (self.cluster_state.capacity().cpu - used - kept).max(0) / 2
    }

    /// Another block has so much room beyond its own work.
    pub fn has_room(&mut self, block: sorrelhinge_blocks::shard::BlockId, cpu: i64, now: Time) {
        self.sharing.delegation.has_room(block, cpu, now);
    }

    /// Leaves tasks that found no place to blocks that have room. Not of jobs
    /// whose zones count together: one block must see where all of them are.
    pub fn leave(&mut self, view: &View, now: Time) -> Vec<LeftTo> {
        self.end_left(view, now);
        if self.frozen_since.is_some() {
            return Vec::new();
        }
        let mut waiting: Vec<Waiting> = self
            .cluster_state
            .wanting()
            .filter(|(_, j)| {
                j.tasks.at_home()
                    && j.spec.kind == Kind::Array
                    && !j.spec.spread
                    && !j.spec.one_zone
                    && j.policy.is_empty()
            })
            .filter_map(|(id, j)| {
                Some(Waiting {
                    job: id.clone(),
                    since: j.blocked_since?,
                    tasks: j.tasks.pending().min(MOST_LEFT),
                    cpu: j.spec.each.cpu,
                })
            })
            .collect();
        waiting.sort_by(|a, b| a.since.0.total_cmp(&b.since.0).then(a.job.cmp(&b.job)));
        waiting.truncate(MOST_JOBS);
        // A window's work finds the room that other blocks hold for it.
        let mut all = self.leave_to_holds(&waiting);
        all.extend(self.sharing.delegation.delegate(&waiting, now));
        let mut told = Vec::new();
        for Delegated { job, to, tasks } in all {
            let Some(held) = self.cluster_state.job(&job) else {
                continue;
            };
            let tasks = held.tasks.last_pending(tasks);
            if tasks.is_empty() {
                continue;
            }
            let until = Until {
                tasks: tasks.clone(),
                end: now.after(DELEGATED_S),
            };
            self.sharing
                .left
                .entry(job.clone())
                .or_default()
                .push(until);
            if let Some(entry) = view.job(&job) {
                self.share(&job, entry);
            }
            told.push(LeftTo {
                block: to,
                job,
                tasks: tasks.into_iter().collect(),
            });
        }
        told
    }

    /// Another block leaves tasks to this one.
    pub fn left_here(&mut self, view: &View, left: &LeftTo, now: Time, wall_ms: u64) {
        let Some(entry) = view.job(&left.job) else {
            return;
        };
        let live = entry.record.value.phase == Phase::Live;
        let in_range = left.tasks.iter().all(|i| *i < entry.record.value.tasks);
        if !live || !in_range || self.shard.homes(&left.job) || self.frozen_since.is_some() {
            return;
        }
        let until = Until {
            tasks: left.tasks.iter().copied().collect(),
            end: now.after(ACCEPTED_S),
        };
        let taken = self.sharing.taken.entry(left.job.clone()).or_default();
        taken.push(until);
        if self.cluster_state.job(&left.job).is_none() {
            self.add_known(view, &left.job, now, wall_ms);
        }
        self.share(&left.job, entry);
        self.walk_all = true;
    }

    /// Ends what was left for long enough.
    fn end_left(&mut self, view: &View, now: Time) {
        let mut ended: BTreeSet<JobId> = BTreeSet::new();
        let sharing = &mut self.sharing;
        for all in [&mut sharing.left, &mut sharing.taken] {
            for (job, some) in all.iter_mut() {
                let before = some.len();
                some.retain(|u| now < u.end);
                if some.len() < before {
                    ended.insert(job.clone());
                }
            }
            all.retain(|_, some| !some.is_empty());
        }
        for job in ended {
            if let Some(entry) = view.job(&job) {
                self.share(&job, entry);
            }
            self.forget_job(view, &job, now);
        }
    }

    // ---- handing on -----------------------------------------------------

    /// Claims nothing more; what is under way settles. Claims that still wait to
    /// be recorded are dropped: nothing was sent for them, and with changes short
    /// they would keep the block frozen for seconds.
    pub fn freeze(&mut self, now: Time) {
        if self.frozen_since.is_some() {
            return;
        }
        tracing::info!(block = %self.shard.block, "frozen: it is handed on");
        self.frozen_since = Some(now);
        let mut unsent = Vec::new();
        for (id, job) in self.cluster_state.jobs() {
            for (&index, claim) in job.tasks.claims() {
                let task = TaskId {
                    job: id.clone(),
                    index,
                };
                let waits = self.pending.claims(&self.chunk_of(&task));
                if !claim.committed && claim.sent == Sent::No && waits {
                    unsent.push(task);
                }
            }
        }
        for task in unsent {
            self.release(&task, now);
        }
    }

    /// The offer was taken back.
    pub fn thaw(&mut self) {
        if self.frozen_since.take().is_some() {
            tracing::info!(block = %self.shard.block, "the offer was taken back");
            self.walk_all = true;
        }
    }

    /// Whether it is frozen.
    pub fn is_frozen(&self) -> bool {
        self.frozen_since.is_some()
    }

    /// Whether what is under way has settled: what was claimed is recorded, and
    /// no command is unanswered, or it has taken long enough. Results that wait
    /// to be recorded are not waited for: workers repeat them to the next owner.
    pub fn settled(&self, now: Time) -> bool {
        let patient = self.frozen_since.is_some_and(|t| now.since(t) < SETTLE_S);
        !(self.pending.claims_any() || patient && self.command_queue.awaits_answers())
    }
}

/// For so long commands may settle before a block is handed on, in seconds: an
/// unanswered one is in doubt for the next owner, as after any takeover.
const SETTLE_S: f64 = 1.0;
