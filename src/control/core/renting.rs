//! The fleet: what to rent, keep room for and give back.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;

use sorrelhinge_topology::drain::{Drain, Target};

use super::inventory::Coming;
use super::Core;
use crate::cloud::Rental;
use crate::fleet;
use crate::types::{Amount, JobSpec, Kind, MachineId, MachineType, Priority, Time, TypeName, Zone};
use crate::worker::TaskPhase;

/// For how long a job tells what may come.
const RECENT_S: f64 = 180.0;
/// A machine may go once plans had no use for it for this share of the time.
const UNUSED_SHARE: f64 = 0.6;
/// Once nothing has run for so long, and nothing waits, machines go.
const IDLE_S: f64 = 20.0;
/// A machine that was asked directly twice in vain is given back, or one that was
/// asked once and is silent for so many report intervals.
const HANGS_REPORTS: f64 = 2.2;
const FLEET_LOG_S: f64 = 10.0;
/// More room for replicas: the more there is, the more likely some of it has
/// the image, and a fetch takes longer than their users wait.
const SERVICE_ROOM: f64 = 1.7;

/// Whether a whole zone is drained. Nothing is rented there: what came up was
/// drained at once, and rented again and again.
pub(super) fn is_drained(drains: &[Drain], zone: &Zone) -> bool {
    let whole = |d: &Drain| matches!(&d.target, Target::Domain(path) if path == zone.as_str());
    drains.iter().any(whole)
}

impl Core {
    /// Room to keep for each class that came of late: a typical job of it.
    pub(super) fn expected(&mut self, now: Time) -> Vec<fleet::Expected> {
        for a in self.arrivals.values_mut() {
            a.recent.retain(|(t, _)| now.since(*t) < RECENT_S);
        }
        self.arrivals.retain(|_, a| !a.recent.is_empty());
        self.cluster_state.shapes = self.arrivals.values().map(|a| a.spec.each).collect();
        self.hold_back();
        let headroom = self.cfg.tuning.headroom;
        let firsts = self.arrivals.values().filter_map(|a| a.recent.front());
        let first = Time(firsts.map(|(t, _)| t.0).fold(now.0, f64::min));
        self.arrivals
            .values()
            // Work of idle priority takes what is left.
            .filter(|a| a.spec.priority > Priority::Idle)
            .map(|a| {
                let sum: u32 = a.recent.iter().map(|(_, n)| (*n).min(1000)).sum();
                let mean = f64::from(sum) / a.recent.len() as f64;
                // Tasks that come while a machine boots, and how much that
                // varies when they come in jobs.
                let span = now.since(first).clamp(30.0, RECENT_S);
                let boot = 1.5 * self.boot_s();
                let come = f64::from(sum) / span * boot;
                let burst = (come * mean).sqrt();
                let tasks = match a.spec.kind {
                    // Replicas stay: none makes room for the next.
                    Kind::Service => SERVICE_ROOM * (come + burst),
                    Kind::Array | Kind::Gang => 0.6 * burst * self.haste(&a.spec),
                };
                fleet::Expected {
                    spec: a.spec.clone(),
                    tasks: (headroom * tasks).ceil() as u32,
                }
            })
            .collect()
    }

    /// Within each team's limit, room for a job of the classes whose users
    /// wait for its start: other work of the team must not take the last.
    pub(super) fn hold_back(&mut self) {
        let mut most: HashMap<Arc<str>, Amount> = HashMap::new();
        for a in self.arrivals.values() {
            if self.starts_within(&a.spec.class).is_some() {
                let largest = a.recent.iter().map(|(_, n)| *n).max().unwrap_or(0);
                let job = a.spec.each.times(i64::from(largest.min(1000)));
                let held = most.entry(a.spec.team.clone()).or_default();
                if held.cpu < job.cpu {
                    *held = job;
                }
            }
        }
        for (i, team) in self.cfg.teams.iter().enumerate() {
            let held = most.get(&team.name).copied().unwrap_or_default();
            // A small part of the limit only.
            let held = if held.cpu * 10 <= self.cluster_state.teams()[i].limit.cpu {
                held
            } else {
                Amount::default()
            };
            self.cluster_state.hold_back(i, held);
        }
    }

    /// How many machines there are, up and on their way.
    pub fn machines(&self) -> usize {
        self.links.len() + self.inventory.coming().len()
    }

    /// Whether no work of the lowest rank that waits is placed, while work of a
    /// higher rank waits too. A team below its guarantee is not held back.
    pub fn shed_placements(&mut self, shed: bool) {
        let lowest = if shed {
            self.cluster_state.lowest_of_ranks()
        } else {
            None
        };
        if self.cluster_state.held_rank != lowest {
            self.cluster_state.held_rank = lowest;
            self.walk_all = true;
        }
    }

    /// How many jobs may have claims that wait to be recorded.
    pub fn set_most_claiming(&mut self, most: usize) {
        self.cluster_state.most_claiming = Some(most);
    }

    /// How many machines can be served; none: no bound is known.
    pub fn set_most_machines(&mut self, most: Option<usize>) {
        self.most_machines = most;
    }

    /// What is used and free, for the log.
    pub(super) fn log_fleet(&self) {
        let mut sums = [[0_i64; 3]; 2];
        for m in self.cluster_state.machines().values() {
            let sum = &mut sums[usize::from(m.spot)];
            sum[0] += 1;
            sum[1] += m.kind.total.cpu / 1000;
            sum[2] += m.used.cpu / 1000;
        }
        let pending: u32 = self
            .cluster_state
            .wanting()
            .map(|(_, j)| j.tasks.pending())
            .sum();
        let teams: Vec<String> = self
            .cluster_state
            .teams()
            .iter()
            .map(|t| format!("{}:{}", t.name, t.used.cpu / 1000))
            .collect();
        let retiring = self
            .cluster_state
            .machines()
            .values()
            .filter(|m| m.retiring)
            .count();
        let kinds: Vec<String> = self
            .cluster_state
            .use_of_kinds()
            .iter()
            .map(|(kind, sum)| {
                let [machines, cpus, used, needed] = sum;
                format!("{kind}:{machines}/{cpus}/{used}/{needed}")
            })
            .collect();
        tracing::info!(
            ordinary = sums[0][0],
            cpus = sums[0][1],
            used = sums[0][2],
            spot = sums[1][0],
            spot_cpus = sums[1][1],
            spot_used = sums[1][2],
            coming = self.inventory.coming().len(),
            retiring,
            pending,
            teams = teams.join(","),
            kinds = kinds.join(","),
            "fleet"
        );
    }

    /// Machines to delete now, and machines to rent.
    pub fn fleet(&mut self, now: Time) -> (Vec<MachineId>, Vec<Rental>) {
        if self.is_frozen() {
            return (Vec::new(), Vec::new());
        }
        if now.since(self.last_fleet) >= FLEET_LOG_S {
            self.last_fleet = now;
            self.log_fleet();
        }
        let heard = self
            .links
            .values()
            .filter(|l| now.since(l.last_heard) < 2.5 * self.cfg.report_s)
            .count();
        // If most are silent it is this controller that can't hear.
        // Nor does silence tell anything where requests wait too long to be
        // read: giving machines back then, and renting others, is how a fleet
        // that is too large for its controllers would be kept so.
        let hears_most = heard * 2 > self.links.len()
            && self.failover.age_s(now) > self.cfg.silent_s()
            && now >= self.deaf_until;
        let deaf = match hears_most {
            true => self.deaf(now),
            false => Vec::new(),
        };
        for id in deaf {
            tracing::info!(machine = %id, "it reports and hears nothing: given back");
            self.give_back(&id);
        }
        let mut to_delete = Vec::new();
        for (id, link) in &mut self.links {
            let machine = self.cluster_state.machines().get(id);
            let empty = machine.is_none_or(|m| m.claims.is_empty());
            if link.leaving && empty && link.tasks.values().all(|t| t.phase == TaskPhase::Ended) {
                link.deleting = true;
            }
            let quiet_s = now.since(link.last_heard);
            let hangs = link.direct.is_suspect()
                && (link.direct.hangs() >= 2
                    || link.direct.hangs() == 1 && quiet_s > HANGS_REPORTS * self.cfg.report_s);
            if hears_most && (quiet_s > self.cfg.silent_s() || hangs) {
                if hangs && !link.deleting {
                    tracing::info!(machine = %id, quiet_s, "it hangs: given back");
                }
                link.deleting = true;
            }
            if link.deleting {
                to_delete.push(id.clone());
            }
        }
        let types = &self.types;
        for (id, c) in self.inventory.coming() {
            let boot = types.get(&c.kind).map_or(30.0, |t| t.boot_s);
            let stuck = now.since(c.since) > 2.5 * boot + 10.0;
            let missing = self.inventory.is_missing(id);
            if stuck || missing {
                to_delete.push(id.clone());
            }
        }
        let coming: Vec<fleet::Coming> = self
            .inventory
            .coming()
            .iter()
            .filter(|(id, _)| !to_delete.contains(id))
            .filter_map(|(_, c)| {
                Some(fleet::Coming {
                    kind: types.get(&c.kind)?.clone(),
                    spot: c.spot,
                    zone: c.zone.clone(),
                })
            })
            .collect();
        let mut offered: Vec<Rc<MachineType>> = types.values().cloned().collect();
        offered.sort_by(|a, b| a.name.cmp(&b.name));
        let settled = self.failover.age_s(now) > 2.0 * self.cfg.report_s;
        if !settled || self.renting > 0 {
            return (to_delete, Vec::new());
        }
        // Nothing to do and nothing asked for: the next job finds a new
        // machine, rather than its like all being paid for until it comes.
        let idle = !self.cluster_state.has_work()
            && self
                .cluster_state
                .machines()
                .values()
                .all(|m| m.claims.is_empty() && now.since(m.idle_since) > IDLE_S);
        let expected = if idle { Vec::new() } else { self.expected(now) };
        let (refused, drains) = (&self.refused, &self.drains);
        let open = |kind: &TypeName, zone: &Zone, spot: bool| {
            refused
                .get(&(kind.clone(), zone.clone(), spot))
                .is_none_or(|until| now >= *until)
                && !is_drained(drains, zone)
        };
        let boot_s = self.boot_s();
        let patient = |spec: &JobSpec| self.slack(spec) > boot_s;
        let lacks = self.lacks(now);
        let input = fleet::Input {
            patient: &patient,
            boot_s,
            cluster_state: &self.cluster_state,
            types: &offered,
            coming: &coming,
            expected: &expected,
            lacks: &lacks,
            open: &open,
            memory: &self.memory,
        };
        let plan = fleet::plan(&input, now);
        self.windows.set_coming(&plan.coming);
        // Only what had no use for long falls idle on purpose: a machine with
        // a warm cache is worth more than a new one.
        let share = 1.0 - (-now.since(self.last_plan) / self.cfg.tuning.idle_s.max(1.0)).exp();
        self.last_plan = now;
        // What the teams are guaranteed stays there, the cheapest part of it.
        let mut left = self.cluster_state.capacity().cpu;
        let floor = match idle {
            true => 0.0,
            false => self.cluster_state.guaranteed().cpu as f64 * self.cfg.tuning.floor,
        };
        // What can't be served goes as soon as it has no use.
        let excess = self
            .most_machines
            .map_or(0, |most| self.machines().saturating_sub(most));
        let mut retiring: Vec<(f64, MachineId)> = Vec::new();
        let mut unused: Vec<(MachineId, f64)> = Vec::new();
        for (id, m) in self.cluster_state.machines() {
            let now_unused = f64::from(u8::from(plan.unused.contains(id)));
            let part = m.unused + (now_unused - m.unused) * share;
            if now_unused > 0.0 && (part > UNUSED_SHARE || idle || excess > 0) {
                retiring.push((-m.price_per_cpu(), id.clone()));
            }
            unused.push((id.clone(), part));
        }
        retiring.sort_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
        let mut going: BTreeSet<MachineId> = BTreeSet::new();
        for (_, id) in retiring {
            let Some(m) = self.cluster_state.machines().get(&id) else {
                continue;
            };
            if (left - m.kind.total.cpu) as f64 >= floor {
                left -= m.kind.total.cpu;
                going.insert(id);
            }
        }
        let mut give_back: Vec<MachineId> = Vec::new();
        for (id, part) in unused {
            let kept = plan.kept.get(&id).copied().unwrap_or_default();
            let retiring = going.contains(&id);
            self.cluster_state.edit_machine(&id, |m| {
                m.unused = part;
                m.kept = kept;
                m.retiring = retiring;
                if retiring && m.claims.is_empty() && now.since(m.idle_since) > 2.0 {
                    give_back.push(id.clone());
                }
            });
        }
        for id in give_back {
            if let Some(link) = self.links.get_mut(&id) {
                link.leaving = true;
            }
            self.refresh_machine(&id, now);
        }
        let mut rentals = Vec::new();
        // Nor is it of use to rent for work that can't be claimed meanwhile.
        self.claim_rate
            .take(std::mem::take(&mut self.claimed_cpu), now);
        let bound = self.cluster_state.claims_bind();
        let free = self.cluster_state.capacity().cpu
            - self
                .cluster_state
                .teams()
                .iter()
                .map(|t| t.used.cpu)
                .sum::<i64>();
        let mut left = if bound && self.claim_rate.lasts(free, boot_s) {
            0
        } else {
            self.most_machines
                .map_or(usize::MAX, |most| most.saturating_sub(self.machines()))
        };
        for mut want in plan.rent {
            want.count = want.count.min(u32::try_from(left).unwrap_or(u32::MAX));
            if want.count == 0 {
                continue;
            }
            left -= want.count as usize;
            self.rentals += 1;
            self.renting += 1;
            rentals.push(Rental {
                // Unique: the grant's number was written before, and this
                // owner counts its own requests. Two blocks' grants may have the
                // same number.
                hire: match self.shard.is_part() {
                    true => format!("r-{}-{}-{}", self.grant, self.shard.block, self.rentals),
                    false => format!("r-{}-{}", self.grant, self.rentals),
                },
                build: want.kind,
                rack: want.zone,
                loaners: want.spot,
                number: want.count,
            });
        }
        (to_delete, rentals)
    }

    /// A rental's outcome: the machines, or none if there is no capacity or
    /// the call failed.
    pub fn rented(&mut self, rental: &Rental, machines: Result<Vec<MachineId>, bool>, now: Time) {
        self.renting = self.renting.saturating_sub(1);
        let key = (rental.build.clone(), rental.rack.clone(), rental.loaners);
        let short = |got: usize| got < rental.number as usize;
        match machines {
            Ok(machines) => {
                if short(machines.len()) {
                    self.refused.insert(key, now.after(10.0));
                }
                for id in machines.into_iter().filter(|m| self.shard.covers(m)) {
                    if !self.links.contains_key(&id) {
                        self.inventory.rented(
                            id,
                            Coming {
                                kind: rental.build.clone(),
                                zone: rental.rack.clone(),
                                spot: rental.loaners,
                                since: now,
                            },
                        );
                    }
                }
            }
            Err(no_capacity) => {
                if !no_capacity {
                    self.windows.failed(now.after(3.0));
                }
                self.refused
                    .insert(key, now.after(if no_capacity { 10.0 } else { 3.0 }));
            }
        }
    }

    /// Another owner rented machines, some of which belong to this block.
    pub fn rented_for(&mut self, sort: (&TypeName, &Zone, bool), machine: &MachineId, now: Time) {
        let known = self.links.contains_key(machine) || self.tombstones.is_recent(machine);
        if self.shard.covers(machine) && !known {
            let (kind, zone, spot) = sort;
            let coming = || Coming {
                kind: kind.clone(),
                zone: zone.clone(),
                spot,
                since: now,
            };
            self.inventory.expect(machine, coming);
        }
    }
}
