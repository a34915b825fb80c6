//! The fleet: what is decided of it in one look, and scale-out: which machines are
//! asked of the cloud, and what came of it. Scale-in is in [`super::scale_in`], the
//! room that is kept for work to come in [`super::demand`]; whether ordinary machines
//! or spot ones are asked for, of which type and where, is of [`crate::fleet`].

use std::rc::Rc;

use sorrelhinge_topology::drain::{Drain, Target};

use super::scaling_state::MachineOffer;
use super::{Coming, Core};
use crate::cloud::Rental;
use crate::fleet;
use crate::types::{JobSpec, MachineId, MachineType, Time, TypeName, Zone};

/// Nothing is asked for until so many report intervals after the start: which machines
/// there are is not known before.
const SETTLED_REPORTS: f64 = 2.0;
/// What the cloud had too little of is not asked for again for so many seconds.
const NO_CAPACITY_S: f64 = 10.0;
/// Nor is that for so many seconds for which a call failed.
const FAILED_S: f64 = 3.0;

/// Whether a whole zone is drained. Nothing is rented there: what came up was
/// drained at once, and rented again and again.
pub(super) fn is_drained(drains: &[Drain], zone: &Zone) -> bool {
    let whole = |d: &Drain| matches!(&d.target, Target::Domain(path) if path == zone.as_str());
    drains.iter().any(whole)
}

/// What is to be done about the fleet now.
#[derive(Debug, Default)]
pub struct ScalingDecision {
    /// Machines to delete.
    pub to_delete: Vec<MachineId>,
    /// Requests to send to the cloud.
    pub scale_out: Vec<Rental>,
}

impl Core {
    /// How many machines there are, up and on their way.
    pub fn machines(&self) -> usize {
        self.links.len() + self.coming.len()
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
        self.scaling.requests.set_max_machines(most);
    }

    /// Looks at the whole fleet: machines to delete now, and requests to send. Each
    /// request is under way until its outcome is told to [`Core::rented`]. Nothing is
    /// decided while the shard is handed on.
    pub fn fleet(&mut self, now: Time) -> ScalingDecision {
        if self.is_frozen() {
            return ScalingDecision::default();
        }
        self.log_fleet_if_due(now);
        let trusts_silence = self.trusts_silence(now);
        if trusts_silence {
            self.give_back_deaf(now);
        }
        let to_delete = self.machines_to_delete(trusts_silence, now);
        let settled = now.since(self.started) > SETTLED_REPORTS * self.cfg.report_s;
        if !settled || self.scaling.requests.any_in_flight() {
            return ScalingDecision {
                to_delete,
                scale_out: Vec::new(),
            };
        }
        let idle = self.is_idle(now);
        let expected = if idle { Vec::new() } else { self.expected(now) };
        let plan = self.plan_fleet(&expected, &to_delete, now);
        self.windows.set_coming(&plan.coming);
        self.scale_in(&plan, idle, now);
        ScalingDecision {
            to_delete,
            scale_out: self.scale_out(plan.rent, now),
        }
    }

    /// Packs what runs, waits and is expected into the machines that there are and
    /// those on their way, less those that are to be deleted.
    fn plan_fleet(
        &self,
        expected: &[fleet::Expected],
        to_delete: &[MachineId],
        now: Time,
    ) -> fleet::Plan {
        let boot_s = self.boot_s();
        let input = fleet::Input {
            patient: &|spec: &JobSpec| self.slack(spec) > boot_s,
            boot_s,
            cluster_state: &self.cluster_state,
            types: &self.offered_types(),
            coming: &self.coming_except(to_delete),
            expected,
            lacks: &self.lacks(now),
            open: &|kind: &TypeName, zone: &Zone, spot: bool| {
                self.may_request(kind, zone, spot, now)
            },
            memory: self.topology_history.placements(),
        };
        fleet::plan(&input, now)
    }

    /// The cloud's machine types by name.
    fn offered_types(&self) -> Vec<Rc<MachineType>> {
        let mut offered: Vec<Rc<MachineType>> = self.types.values().cloned().collect();
        offered.sort_by(|a, b| a.name.cmp(&b.name));
        offered
    }

    /// Machines on their way that are not to be deleted.
    fn coming_except(&self, to_delete: &[MachineId]) -> Vec<fleet::Coming> {
        self.coming
            .iter()
            .filter(|(id, _)| !to_delete.contains(id))
            .filter_map(|(_, c)| {
                Some(fleet::Coming {
                    kind: self.types.get(&c.kind)?.clone(),
                    spot: c.spot,
                    zone: c.zone.clone(),
                })
            })
            .collect()
    }

    /// Whether a machine may be asked for: the cloud has not just refused such a one,
    /// and its zone is not drained.
    pub(super) fn may_request(&self, kind: &TypeName, zone: &Zone, spot: bool, now: Time) -> bool {
        let offer = MachineOffer {
            kind: kind.clone(),
            zone: zone.clone(),
            spot,
        };
        !self.scaling.requests.is_refused(&offer, now) && !is_drained(&self.drains, zone)
    }

    /// The requests to send, as far as the machines can be served and used.
    fn scale_out(&mut self, wants: Vec<fleet::Want>, now: Time) -> Vec<Rental> {
        let mut left = self.machines_to_add(now);
        let mut rentals = Vec::new();
        for mut want in wants {
            want.count = want.count.min(u32::try_from(left).unwrap_or(u32::MAX));
            if want.count == 0 {
                continue;
            }
            left -= want.count as usize;
            let number = self.scaling.requests.begin();
            rentals.push(Rental {
                hire: self.request_id(number),
                build: want.kind,
                rack: want.zone,
                loaners: want.spot,
                number: want.count,
            });
        }
        rentals
    }

    /// How many machines may be added: no more than can be served, and none for work
    /// that can't be claimed meanwhile.
    fn machines_to_add(&mut self, now: Time) -> usize {
        let teams = self.cluster_state.teams().iter();
        let used = teams.map(|t| t.used.cpu).sum::<i64>();
        let free = self.cluster_state.capacity().cpu - used;
        let boot_s = self.boot_s();
        let claim_rate = self.scaling.requests.claim_rate(now);
        let lasts = claim_rate.lasts(free, boot_s);
        if self.cluster_state.claims_bind() && lasts {
            return 0;
        }
        self.scaling
            .requests
            .max_machines()
            .map_or(usize::MAX, |max| max.saturating_sub(self.machines()))
    }

    /// A request's name. Unique: the grant's number was written before, and
    /// this owner counts its own requests. Two blocks' grants may have the same number.
    fn request_id(&self, number: u64) -> String {
        match self.shard.is_part() {
            true => format!("r-{}-{}-{number}", self.grant, self.shard.block),
            false => format!("r-{}-{number}", self.grant),
        }
    }

    /// A rental's outcome: the machines, or whether that is for want of capacity; else
    /// the call failed.
    pub fn rented(&mut self, rental: &Rental, machines: Result<Vec<MachineId>, bool>, now: Time) {
        self.scaling.requests.end();
        let offer = MachineOffer::from(rental);
        match machines {
            Ok(machines) => {
                if machines.len() < rental.number as usize {
                    self.scaling
                        .requests
                        .refuse(offer, now.after(NO_CAPACITY_S));
                }
                let coming = Coming {
                    kind: rental.build.clone(),
                    zone: rental.rack.clone(),
                    spot: rental.loaners,
                    since: now,
                };
                for id in machines.into_iter().filter(|m| self.shard.covers(m)) {
                    if !self.links.contains_key(&id) {
                        self.coming.insert(id, coming.clone());
                    }
                }
            }
            Err(no_capacity) => {
                if !no_capacity {
                    self.windows.failed(now.after(FAILED_S));
                }
                let pause_s = if no_capacity { NO_CAPACITY_S } else { FAILED_S };
                self.scaling.requests.refuse(offer, now.after(pause_s));
            }
        }
    }

    /// Another owner rented machines, some of which belong to this block.
    pub fn rented_for(&mut self, sort: (&TypeName, &Zone, bool), machine: &MachineId, now: Time) {
        let known = self.links.contains_key(machine) || self.deleted.contains_key(machine);
        if self.shard.covers(machine) && !known {
            let (kind, zone, spot) = sort;
            let coming = || Coming {
                kind: kind.clone(),
                zone: zone.clone(),
                spot,
                since: now,
            };
            self.coming.entry(machine.clone()).or_insert_with(coming);
        }
    }
}
