//! The order of the teams and jobs, where a task may go, and the walk of
//! Algorithm 1 (section 4.2).

use std::ops::Bound;

use super::topology_rules::Ask;
use super::*;
use crate::types::Kind;

impl ClusterState {
    // ---- order ----------------------------------------------------------

    /// Every team's standing now.
    pub fn standings(&self) -> Vec<Standing> {
        let capacity = self.capacity;
        let size = |a: Amount| {
            let part = |x: i64, of: i64| if of > 0 { x as f64 / of as f64 } else { 0.0 };
            part(a.cpu, capacity.cpu).max(part(a.gpu, capacity.gpu))
        };
        let minimum: Vec<f64> = self.teams.iter().map(|t| size(t.guarantee)).collect();
        let demand: Vec<f64> = self
            .teams
            .iter()
            .zip(&self.demand)
            .map(|(t, d)| size(t.used + *d).min(size(t.limit)))
            .collect();
        let fair = water_fill(1.0, &minimum, &demand);
        self.teams
            .iter()
            .enumerate()
            .map(|(i, t)| {
                let used = size(t.used);
                let short = minimum[i].min(demand[i]) - used;
                Standing {
                    below_guarantee: if short > 1e-9 {
                        short / minimum[i]
                    } else {
                        0.0
                    },
                    below_fair: fair[i] - used,
                }
            })
            .collect()
    }

    /// The teams in the order of the walk.
    pub(super) fn team_order(&self) -> Vec<usize> {
        let standings = self.standings();
        let mut order: Vec<usize> = (0..self.teams.len()).collect();
        order.sort_by(|&a, &b| {
            let (sa, sb) = (standings[a], standings[b]);
            sb.below_guarantee
                .total_cmp(&sa.below_guarantee)
                .then(sb.below_fair.total_cmp(&sa.below_fair))
                .then(a.cmp(&b))
        });
        order
    }

    /// The jobs that want a task placed, in the order of the walk: those that are
    /// ahead in their lane, then the others.
    pub(super) fn in_order(&self, now: Time) -> impl Iterator<Item = (&JobId, &Job)> {
        let first = self.lanes_first(now);
        let ahead: HashSet<&JobId> = first.iter().map(|(id, _)| *id).collect();
        let others = self.in_turn(now).filter(move |(id, _)| !ahead.contains(id));
        first.into_iter().chain(others)
    }

    /// The jobs that want a task placed, in the order that would be without lanes.
    fn in_turn(&self, now: Time) -> impl Iterator<Item = (&JobId, &Job)> {
        self.team_order()
            .into_iter()
            .flat_map(move |team| {
                let queue = &self.queues[team];
                queue
                    .iter()
                    .filter_map(|p| Some((&p.id, self.jobs.get(&p.id)?)))
            })
            .filter(move |(_, job)| now >= job.hold_until)
    }

    // ---- where a task may go --------------------------------------------

    pub(super) fn kind_suits(spec: &JobSpec, spot: bool, kind: &MachineType, zone: &Zone) -> bool {
        spec.each.fits(kind.total)
            && (spec.spot || !spot)
            && spec.zone.as_ref().is_none_or(|z| z == zone)
            && spec.types.as_ref().is_none_or(|t| t.contains(&kind.name))
    }

    /// Whether a machine's type, zone and kind suit a job at all.
    pub fn suits(spec: &JobSpec, machine: &Machine) -> bool {
        Self::kind_suits(spec, machine.spot, &machine.kind, &machine.zone)
    }

    /// How many tasks of a job are in each zone; none if a claim is on a
    /// machine whose zone is not known yet, which forbids every placement that
    /// depends on zones.
    pub(super) fn zones_of(
        &self,
        id: &JobId,
        job: &Job,
        leave_out: Option<u32>,
    ) -> Option<BTreeMap<&Zone, u32>> {
        let mut zones = BTreeMap::new();
        if job.spec.one_zone || job.spec.spread {
            // Left out once, when the machines had just been divided: replicas
            // went where their rule forbids it (`wrong_place`).
            if let Some(elsewhere) = self.elsewhere.get(id) {
                zones.extend(elsewhere.as_ref()?.iter().map(|(z, n)| (z, *n)));
            }
            let claims = job.tasks.claims().iter();
            for (_, claim) in claims.filter(|(index, _)| Some(**index) != leave_out) {
                *zones
                    .entry(&self.machines.get(&claim.machine)?.zone)
                    .or_insert(0) += 1;
            }
        }
        Some(zones)
    }

    pub(super) fn zone_allows(job: &Job, zones: &BTreeMap<&Zone, u32>, zone: &Zone) -> bool {
        let here = zones.get(zone).copied().unwrap_or(0);
        // Of claims found at a takeover some may be over, and be in another zone than
        // those that run: it is not known which, so nothing goes anywhere until one
        // side is shown to be gone. Any zone with a claim was good enough once, and a
        // task started in one while others ran in the other (`wrong_place`).
        (!job.spec.one_zone || zones.iter().all(|(z, n)| *n == 0 || *z == zone))
            && (!job.spec.spread || here < job.spec.tasks.div_ceil(2))
    }

    /// What a job's team may use once a task of the job starts: its limit, less
    /// what is held for windows, and less the part that is left to jobs whose
    /// users wait for the start unless it is one of them.
    pub(super) fn limit_to_start(&self, job: &Job) -> Amount {
        let limit = self.limit_for(job);
        match job.start_within {
            Some(_) => limit,
            None => limit - self.teams[job.team].held_back,
        }
    }

    /// Whether one more task of a job stays within its team's limit.
    pub fn limit_allows(&self, job: &Job) -> bool {
        let left = self.limit_to_start(job) - self.teams[job.team].used;
        job.spec.each.fits_team(left)
    }

    /// Whether a task of a job may be claimed now: not while its rank is held
    /// back, another task shows whether the job is mistaken, nor before others' claims are recorded. Those whose users wait for
    /// the start may be twice as many.
    pub(super) fn may_claim(&self, id: &JobId, job: &Job) -> bool {
        if job.open() == 0 || self.idle_is_full(job) {
            return false;
        }
        if self.held_rank == Some(job.spec.priority) {
            let team = &self.teams[job.team];
            if !(team.used + job.spec.each).fits_team(team.guarantee) {
                return false;
            }
        }
        let held = self.claiming.len();
        let idle = job.spec.priority == Priority::Idle;
        self.most_claiming.is_none_or(|all| {
            // A swarm of idle jobs leaves half of it to others.
            let most = if idle { all / 2 } else { all };
            let of_sort = self.claiming_of.get(&job.sort()).copied().unwrap_or(0);
            held < most
                || job.start_within.is_some() && held < 2 * most
                || job.lane.is_some() && 2 * held < 3 * most
                || of_sort < fair::floor(all)
                || self.claiming.contains(id)
        })
    }

    /// Whether as many claims wait to be recorded as may.
    pub fn claims_bind(&self) -> bool {
        self.most_claiming
            .is_some_and(|most| self.claiming.len() >= most)
    }

    /// The lowest rank that waits, if others wait too.
    pub fn lowest_of_ranks(&self) -> Option<Priority> {
        let ranks: BTreeSet<Priority> = self.wanting().map(|(_, j)| j.spec.priority).collect();
        ranks.first().copied().filter(|_| ranks.len() > 1)
    }

    /// Leaves part of a team's limit to jobs whose users wait for the start.
    pub fn hold_back(&mut self, team: usize, amount: Amount) {
        self.teams[team].held_back = amount;
    }

    /// Room on a machine for a job, less what is kept or reserved for others.
    pub(super) fn room_for(&self, id: &JobId, spot: bool, m_id: &MachineId, now: Time) -> Amount {
        let Some(machine) = self.machines.get(m_id) else {
            return Amount::default();
        };
        let mut free = machine.free();
        if let Some((other, until)) = self.reserved.get(m_id) {
            if other != id && now < *until {
                if let Some(job) = self.jobs.get(other).filter(|j| j.wants(now)) {
                    free -= job.spec.each;
                }
            }
        }
        if let Some((other, amount)) = self.gang_room.get(m_id) {
            if other != id {
                free -= *amount;
            }
        }
        if spot {
            free -= machine.kept;
        }
        free - self.held_from(id, m_id, now)
    }

    /// Whether room on a machine is meant for somebody.
    pub(super) fn is_spoken_for(&self, m_id: &MachineId) -> bool {
        self.reserved.contains_key(m_id)
            || self.gang_room.contains_key(m_id)
            || self.has_held_room(m_id)
    }

    /// Whether tasks of this size fit no smaller type than this one.
    pub(super) fn needs(&self, each: Amount, kind: &MachineType) -> bool {
        !self
            .capacity_index
            .kinds()
            .any(|k| k.total.cpu < kind.total.cpu && each.fits(k.total))
    }

    /// Whether a zone has a controller.
    pub fn is_served(&self, zone: &Zone) -> bool {
        self.served.is_empty() || self.served.contains(zone)
    }

    /// What placing a job on a machine of this sort costs, in seconds: its
    /// image's fetch, and for taking what others need more.
    pub(super) fn place_cost(
        &self,
        spec: &JobSpec,
        near: Nearness,
        zone: &Zone,
        (spot, retiring, slow, kind): (bool, bool, bool, &MachineType),
    ) -> f64 {
        let fetch = spec.image_gb / kind.fetch_gb_per_s.max(1e-3);
        let mut cost = match near {
            Nearness::Ready => 0.0,
            Nearness::Coming => fetch / 2.0,
            Nearness::Absent => fetch,
        };
        if spec.spot && !spot {
            cost += ORDINARY_S;
        }
        if spec.kind == Kind::Service && !self.is_served(zone) {
            cost += UNSERVED_S;
        }
        if retiring {
            cost += RETIRING_S;
        }
        if slow {
            cost += SLOW_S;
        }
        // Large machines are left to tasks that fit no smaller one.
        let scarce = self.shapes.iter().any(|s| {
            s.fits(kind.total)
                && self
                    .capacity_index
                    .kinds()
                    .any(|k| !s.fits(k.total) && spec.each.fits(k.total))
        });
        if scarce && !self.needs(spec.each, kind) {
            cost += SCARCE_S;
        }
        cost
    }

    /// Which jobs wait that fit only types as large as each group's.
    pub(super) fn needy(&self, now: Time) -> Needy {
        let mut needy = Needy::new();
        let smallest = self.capacity_index.kinds().min_by_key(|k| k.total.cpu);
        for (id, job) in self.wanting() {
            if smallest.is_none_or(|k| job.spec.each.fits(k.total)) || !job.wants(now) {
                continue;
            }
            for (key, group) in self.capacity_index.groups() {
                if Self::kind_suits(&job.spec, key.spot, &group.kind, &key.zone)
                    && self.needs(job.spec.each, &group.kind)
                    && self.limit_allows(job)
                {
                    let ids = needy
                        .entry((key.spot, key.kind.clone(), key.zone.clone()))
                        .or_default();
                    // Two tell whether there is another than one itself.
                    if ids.len() < 2 && ids.last() != Some(id) {
                        ids.push(id.clone());
                    }
                }
            }
        }
        needy
    }

    /// Whether another job waits that fits only machines as large as this one,
    /// while this one fits smaller ones and has not waited for long.
    pub(super) fn left_to_others(
        &self,
        (id, job): (&JobId, &Job),
        (spot, kind, zone): (bool, &MachineType, &Zone),
        needy: &OnceCell<Needy>,
        now: Time,
    ) -> bool {
        if job.start_within.is_some() || self.needs(job.spec.each, kind) {
            return false;
        }
        let waited = job.blocked_since.map_or(0.0, |t| now.since(t));
        let more_urgent = |other: &JobId| {
            let other = self.jobs.get(other);
            other.is_some_and(|o| job.spec.priority > o.spec.priority)
        };
        needy
            .get_or_init(|| self.needy(now))
            .get(&(spot, kind.name.clone(), zone.clone()))
            .and_then(|ids| ids.iter().find(|other| *other != id))
            .is_some_and(|other| {
                waited
                    < if more_urgent(other) {
                        job.patience_s
                    } else {
                        job.late_s
                    }
            })
    }

    /// The best machine for one more task of a job, if any has room: one that
    /// meets all its wishes, else one that meets what is required.
    pub(super) fn best(
        &self,
        id: &JobId,
        job: &Job,
        needy: &OnceCell<Needy>,
        now: Time,
    ) -> Option<Offer> {
        if !self.limit_allows(job) {
            return None;
        }
        let ask = Ask {
            leave_out: None,
            settled: None,
        };
        self.best_of(id, job, &ask, Reach::All, needy, now)
            .or_else(|| {
                job.policy
                    .prefers()
                    .then(|| self.best_of(id, job, &ask, Reach::Musts, needy, now))?
            })
    }

    pub(super) fn best_of(
        &self,
        id: &JobId,
        job: &Job,
        ask: &Ask,
        reach: Reach,
        needy: &OnceCell<Needy>,
        now: Time,
    ) -> Option<Offer> {
        let spec = &job.spec;
        let zones = self.zones_of(id, job, ask.leave_out)?;
        let site = self.site(job, reach, ask.leave_out);
        let pass = |place: Domain, m_id: &MachineId| {
            let fits = (job.avoid.is_empty()
                || job.avoid.get(m_id).is_none_or(|until| now >= *until))
                && (!self.is_spoken_for(m_id)
                    || spec.each.fits(self.room_for(id, spec.spot, m_id, now)));
            match &site {
                _ if !fits => Err(place.0 + 1),
                Some(site) => self.site_passes(site, ask, place, m_id, now),
                None => Ok(()),
            }
        };
        let mut best: Option<Offer> = None;
        for (key, group) in self.capacity_index.groups() {
            let kind = &*group.kind;
            if !Self::kind_suits(spec, key.spot, kind, &key.zone)
                || !Self::zone_allows(job, &zones, &key.zone)
                || self.left_to_others((id, job), (key.spot, kind, &key.zone), needy, now)
                || site
                    .as_ref()
                    .is_some_and(|s| !Machine::could(&key.devices, &s.needs))
            {
                continue;
            }
            let spare = if key.devices.is_empty() || !job.policy.devices.is_empty() {
                0.0
            } else {
                DEVICES_S
            };
            for near in [Nearness::Ready, Nearness::Coming, Nearness::Absent] {
                let cost = spare
                    + self.place_cost(
                        spec,
                        near,
                        &key.zone,
                        (key.spot, key.retiring, key.slow, kind),
                    );
                if best.as_ref().is_some_and(|b| cost > b.cost) {
                    break;
                }
                let found = self.capacity_index.first(
                    key,
                    group,
                    (spec.each, spec.spot),
                    (&spec.image, near),
                    &pass,
                );
                let Some((free, place, machine)) = found else {
                    continue;
                };
                let offer = Offer {
                    cost,
                    ordinary: !key.spot,
                    free,
                    place,
                    machine,
                };
                if best.as_ref().is_none_or(|b| offer.order(b).is_lt()) {
                    best = Some(offer);
                }
                break;
            }
        }
        best
    }

    pub(super) fn cached_somewhere(&self, spec: &JobSpec) -> bool {
        self.capacity_index.groups().any(|(key, group)| {
            Self::kind_suits(spec, key.spot, &group.kind, &key.zone)
                && CapacityIndex::has_image(group, &spec.image)
        })
    }

    // ---- the walk -------------------------------------------------------

    /// Whether a job's image goes from machine to machine.
    pub(super) fn stages(&self, spec: &JobSpec) -> bool {
        self.is_staged(spec.image_gb)
    }
    /// Whether an image of this size does.
    pub fn is_staged(&self, gb: f64) -> bool {
        self.staged_gb.is_some_and(|least| gb >= least)
    }

    /// Whether delay scheduling lets a job launch on a machine now. Only a
    /// job that could find its image elsewhere waits.
    pub(super) fn may_launch(
        &self,
        job: &Job,
        m_id: &MachineId,
        rule: DelayRule,
        now: Time,
    ) -> bool {
        let Some(machine) = self.machines.get(m_id) else {
            return false;
        };
        machine.cache.has(&job.spec.image)
            || job.delay.anywhere
            || job.delay.wait(now)
                >= rule.threshold(&job.spec, self.stages(&job.spec), &machine.kind)
            || !self.cached_somewhere(&job.spec)
    }

    pub(super) fn launch(&mut self, id: &JobId, m_id: &MachineId, now: Time) -> Option<Launch> {
        let cached = {
            let job = self.jobs.get(id)?;
            self.machines.get(m_id)?.cache.has(&job.spec.image)
        };
        let index = self.jobs.get_mut(id)?.tasks.next_pending()?;
        let task = TaskId {
            job: id.clone(),
            index,
        };
        if !self.claim(&task, m_id, now) {
            return None;
        }
        self.claims_wait(id);
        self.look_whether_begun(id, now);
        let job = self.jobs.get_mut(id)?;
        // A launch on a cached image takes the job back to waiting for one;
        // any other leaves it free to launch anywhere.
        job.delay = Delay {
            anywhere: !cached,
            skipped_since: None,
        };
        Some(Launch {
            task,
            machine: m_id.clone(),
            cached,
        })
    }

    pub(super) fn skip(&mut self, skipped: Vec<JobId>, now: Time) {
        for id in skipped {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.delay.skipped_since.get_or_insert(now);
            }
        }
    }

    /// Fills one machine, after its report: the walk of delay scheduling,
    /// until nothing more launches. Launched tasks are claimed on the cluster state.
    pub fn walk(&mut self, m_id: &MachineId, rule: DelayRule, now: Time) -> Vec<Launch> {
        self.walk_in(None, m_id, rule, now)
    }

    /// The same as one of several walks: `pass` is what they share.
    pub fn walk_in(
        &mut self,
        pass: Option<&Pass>,
        m_id: &MachineId,
        rule: DelayRule,
        now: Time,
    ) -> Vec<Launch> {
        let mut launches = Vec::new();
        loop {
            let usable = self
                .machines
                .get(m_id)
                .is_some_and(|m| m.usable && m.free().cpu > 0);
            // Nothing more can be claimed now but by those few jobs whose users
            // wait for a start; they are offered the best machine there is.
            if !usable || !self.has_work() || self.claims_bind() {
                return launches;
            }
            let mut skipped = Vec::new();
            let fresh = Pass::default();
            let pass = pass.unwrap_or(&fresh);
            let picked = self.pick(pass, m_id, rule, &mut skipped, now);
            self.skip(skipped, now);
            let Some(launch) = picked.and_then(|id| self.launch(&id, m_id, now)) else {
                return launches;
            };
            launches.push(launch);
        }
    }

    pub(super) fn pick(
        &self,
        pass: &Pass,
        m_id: &MachineId,
        rule: DelayRule,
        skipped: &mut Vec<JobId>,
        now: Time,
    ) -> Option<JobId> {
        let machine = self.machines.get(m_id)?;
        let needy = &pass.needy;
        let sort = (machine.spot, machine.retiring, machine.slow, &*machine.kind);
        for (id, job) in self.in_order(now) {
            self.capacity_index
                .steps
                .set(self.capacity_index.steps.get() + 1);
            if job.spec.kind == Kind::Gang
                || !job.spec.each.fits(machine.free())
                || !self.may_claim(id, job)
            {
                // A gang is placed whole, not by the walk of one machine.
                continue;
            }
            let placeable = Self::suits(&job.spec, machine)
                && job
                    .spec
                    .each
                    .fits(self.room_for(id, job.spec.spot, m_id, now))
                && job.avoid.get(m_id).is_none_or(|until| now >= *until)
                && self
                    .zones_of(id, job, None)
                    .is_some_and(|zones| Self::zone_allows(job, &zones, &machine.zone))
                && self.limit_allows(job);
            let group = (machine.spot, &*machine.kind, &machine.zone);
            if !placeable
                || self.left_to_others((id, job), group, needy, now)
                || !self.site_suits(id, job, m_id, needy, now)
            {
                continue;
            }
            let near = if machine.cache.has(&job.spec.image) {
                Nearness::Ready
            } else if machine.cache.expects(&job.spec.image) {
                Nearness::Coming
            } else {
                Nearness::Absent
            };
            let mut cost = self.place_cost(&job.spec, near, &machine.zone, sort);
            if !machine.working.is_empty() && job.policy.devices.is_empty() {
                cost += DEVICES_S;
            }
            let better = cost > CLEARLY_S
                && self
                    .best(id, job, needy, now)
                    .is_some_and(|b| b.cost + CLEARLY_S < cost);
            if better {
                continue;
            }
            if self.may_launch(job, m_id, rule, now) {
                return Some(id.clone());
            }
            skipped.push(id.clone());
        }
        None
    }

    /// Offers every job that waits the best machine for it: what the walks of
    /// all machines come to, when work arrived or waits passed that no report
    /// shows. Within a pass room only shrinks, so a job that found none is not
    /// asked again: each team's queue is gone through once, however often the
    /// teams take turns.
    pub fn place(&mut self, rule: DelayRule, now: Time) -> Vec<Launch> {
        let needy = OnceCell::from(self.needy(now));
        let (mut launches, first) = self.place_lanes(rule, &needy, now);
        let mut tried: HashSet<JobId> = first.into_iter().collect();
        let mut from: Vec<Bound<Place>> = vec![Bound::Unbounded; self.teams.len()];
        self.drop_old_holds(now);
        loop {
            let mut gangs = Vec::new();
            let mut skipped = Vec::new();
            let mut found = None;
            'teams: for team in self.team_order() {
                let queue = &self.queues[team];
                let mut passed = None;
                for place in queue.range((from[team].clone(), Bound::Unbounded)) {
                    let id = &place.id;
                    let Some(job) = self.jobs.get(id) else {
                        continue;
                    };
                    // What may not be claimed now may not be later in the pass.
                    if now < job.hold_until || !self.may_claim(id, job) {
                        passed = Some(place);
                        continue;
                    }
                    self.capacity_index
                        .steps
                        .set(self.capacity_index.steps.get() + 1);
                    if job.spec.kind == Kind::Gang {
                        gangs.push(id.clone());
                    } else {
                        match self.best(id, job, &needy, now) {
                            Some(offer) if self.may_launch(job, &offer.machine, rule, now) => {
                                found = Some((id.clone(), offer.machine));
                                from[team] =
                                    passed.cloned().map_or(from[team].clone(), Bound::Excluded);
                                break 'teams;
                            }
                            Some(_) => skipped.push(id.clone()),
                            None => {}
                        }
                    }
                    tried.insert(id.clone());
                    passed = Some(place);
                }
                if let Some(place) = passed {
                    from[team] = Bound::Excluded(place.clone());
                }
            }
            self.skip(skipped, now);
            // A gang has its turn before whatever comes after it, and what was
            // found for that counted on room and limits that it may have taken.
            if !gangs.is_empty() {
                for id in &gangs {
                    launches.extend(self.place_gang(id, rule, now));
                }
                continue;
            }
            let Some((id, machine)) = found else { break };
            match self.launch(&id, &machine, now) {
                Some(launch) => launches.push(launch),
                None => {
                    let job = self.jobs.get(&id);
                    if let Some((team, place)) = job.map(|j| (j.team, j.place(&id))) {
                        from[team] = Bound::Excluded(place);
                    }
                    tried.insert(id);
                }
            }
        }
        for id in tried {
            if let Some(job) = self.jobs.get_mut(&id).filter(|j| j.wants(now)) {
                job.blocked_since.get_or_insert(now);
            }
        }
        launches
    }
}
