//! Which machines to rent and which to give back, without I/O or clock.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::config::Tuning;
use crate::sched::Board;
use crate::types::{Amount, MachineId, MachineType, Time, TypeName, Zone};

/// A machine on its way.
#[derive(Clone, Debug)]
pub struct Coming {
    /// Type.
    pub kind: Rc<MachineType>,
    /// Zone.
    pub zone: Zone,
    /// Spot machine.
    pub spot: bool,
}

/// Machines to rent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Want {
    /// Type.
    pub kind: TypeName,
    /// Zone.
    pub zone: Zone,
    /// Spot machines.
    pub spot: bool,
    /// How many.
    pub count: u32,
}

/// What to do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Machines to rent.
    pub rent: Vec<Want>,
    /// Idle machines to give back.
    pub give_back: Vec<MachineId>,
}

/// Work of one sort that waits or may come, and what could take it.
struct Need {
    each: Amount,
    cpu: i64,
    spot: bool,
    zone: Option<Zone>,
    types: Option<Vec<TypeName>>,
}

/// Compares the work that waits, and headroom for what may come, with the
/// free room and the machines on their way. `open` tells whether the cloud
/// has not just refused such a machine.
pub fn plan(
    board: &Board,
    types: &[Rc<MachineType>],
    coming: &[Coming],
    open: &dyn Fn(&TypeName, &Zone, bool) -> bool,
    tuning: &Tuning,
    now: Time,
) -> Plan {
    let mut plan = Plan::default();
    let mut needs: Vec<Need> = Vec::new();
    let mut used = [0_i64; 2];
    let mut waiting = [0_i64; 2];
    for job in board.jobs.values().filter(|j| !j.cancelled) {
        let sort = usize::from(job.spec.spot);
        used[sort] += job.spec.each.cpu * job.tasks.claims().len() as i64;
        if !job.wants(now) {
            continue;
        }
        // What the team's limit forbids is not waiting for machines.
        let team = &board.teams[job.team];
        let room = (team.limit - team.used).cpu.max(0) / job.spec.each.cpu.max(1);
        let tasks = i64::from(job.tasks.pending()).min(room);
        waiting[sort] += job.spec.each.cpu * tasks;
        needs.push(Need {
            each: job.spec.each,
            cpu: job.spec.each.cpu * tasks,
            spot: job.spec.spot,
            zone: job.spec.zone.clone(),
            types: job.spec.types.clone(),
        });
    }
    let mut free = [0_i64; 2];
    for m in board.machines.values().filter(|m| m.usable) {
        free[usize::from(m.spot)] += m.free().cpu.max(0);
    }
    for c in coming {
        free[usize::from(c.spot)] += c.kind.total.cpu;
    }
    // Headroom: a share of what runs, for each sort of machine.
    let head = |sort: usize| (used[sort] as f64 * tuning.headroom) as i64;
    let firm_short = waiting[0] + head(0) - free[0];
    let flex_short = waiting[1] + head(1) - free[1] - (-firm_short).max(0);
    let mut counts: BTreeMap<(bool, TypeName, Zone), u32> = BTreeMap::new();
    for (spot, short) in [(false, firm_short), (true, flex_short)] {
        let mut left = short;
        needs.sort_by_key(|n| std::cmp::Reverse(n.each.cpu));
        let largest = needs.iter().find(|n| n.spot == spot);
        while left > 0 {
            let fits = |t: &MachineType, zone: &Zone| {
                largest.is_none_or(|n| {
                    n.cpu <= 0
                        || (n.each.fits(t.total)
                            && n.zone.as_ref().is_none_or(|z| z == zone)
                            && n.types.as_ref().is_none_or(|l| l.contains(&t.name)))
                })
            };
            let mut best: Option<(f64, &Rc<MachineType>, &Zone, bool)> = None;
            for t in types {
                for zone in &t.zones {
                    for kind in [true, false] {
                        if (kind && !spot)
                            || !fits(t, zone)
                            || !open(&t.name, zone, kind)
                            || t.total.cpu <= 0
                        {
                            continue;
                        }
                        let price = if kind { t.spot_price } else { t.price };
                        // Cheapest by CPU; among equals the zone with the
                        // fewest, so that services can spread.
                        let here = board
                            .machines
                            .values()
                            .filter(|m| m.zone == *zone)
                            .map(|m| m.kind.total.cpu)
                            .chain(
                                coming
                                    .iter()
                                    .filter(|c| c.zone == *zone)
                                    .map(|c| c.kind.total.cpu),
                            )
                            .sum::<i64>()
                            + counts
                                .iter()
                                .filter(|((_, _, z), _)| z == zone)
                                .map(|((_, name, _), n)| {
                                    i64::from(*n)
                                        * types
                                            .iter()
                                            .find(|t| t.name == *name)
                                            .map_or(0, |t| t.total.cpu)
                                })
                                .sum::<i64>();
                        let score =
                            price / t.total.cpu as f64 * (1.0 + 1e-6 * here as f64 / 1000.0);
                        if best.as_ref().is_none_or(|(s, ..)| score < *s) {
                            best = Some((score, t, zone, kind));
                        }
                    }
                }
            }
            let Some((_, t, zone, kind)) = best else {
                break;
            };
            let n = counts
                .entry((kind, t.name.clone(), zone.clone()))
                .or_insert(0);
            if *n >= 50 {
                break;
            }
            *n += 1;
            left -= t.total.cpu;
        }
    }
    plan.rent = counts
        .into_iter()
        .map(|((spot, kind, zone), count)| Want {
            kind,
            zone,
            spot,
            count,
        })
        .collect();
    if plan.rent.is_empty() {
        give_back(board, &mut plan, firm_short, flex_short, tuning, now);
    }
    plan
}

/// Gives back machines that have been idle for long and are not part of the
/// headroom, the dearest first.
fn give_back(
    board: &Board,
    plan: &mut Plan,
    firm_short: i64,
    flex_short: i64,
    tuning: &Tuning,
    now: Time,
) {
    let mut firm_spare = -firm_short;
    let mut flex_spare = -flex_short;
    let mut idle: Vec<_> = board
        .machines
        .iter()
        .filter(|(_, m)| m.usable && m.claims.is_empty() && now.since(m.idle_since) > tuning.idle_s)
        .collect();
    let price = |m: &crate::sched::Machine| {
        (if m.spot {
            m.kind.spot_price
        } else {
            m.kind.price
        }) / m.kind.total.cpu.max(1) as f64
    };
    idle.sort_by(|(a_id, a), (b_id, b)| price(b).total_cmp(&price(a)).then(a_id.cmp(b_id)));
    for (id, m) in idle {
        let cpu = m.kind.total.cpu;
        // Ordinary machines also take what could run on spot ones.
        let spare = if m.spot {
            flex_spare
        } else {
            firm_spare.min(flex_spare)
        };
        if spare >= cpu {
            plan.give_back.push(id.clone());
            flex_spare -= cpu;
            if !m.spot {
                firm_spare -= cpu;
            }
        }
    }
}
