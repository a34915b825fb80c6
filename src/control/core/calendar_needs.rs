//! What windows of the release calendar lack: what is rented for them, left to them
//! and said of them.

use std::collections::BTreeMap;
use std::rc::Rc;

use sorrelhinge_blocks::delegation::{Delegated, Waiting};
use sorrelhinge_blocks::shard::BlockId;
use sorrelhinge_calendar::plan::{arbitrate, divide, Refused, TeamRoom, Want};
use sorrelhinge_calendar::settings::Window;
use sorrelhinge_calendar::shown::{rows, WindowShown};

use super::calendar::spec_of;
use super::Core;
use crate::fleet;
use crate::sched::HoldSeen;
use crate::types::{Amount, MachineType, Time, TypeName, Zone};

/// The same shortage is said again in the log after so many seconds.
const SHORT_AGAIN_S: f64 = 30.0;
/// How many machines of a type and zone are asked for at a time.
pub(super) const RENTED_AT_ONCE: f64 = 50.0;

impl Core {
    /// Of several blocks each holds its part, and a job is homed in one: what waits
    /// of a window's work is left to the others, to each as much as it holds.
    pub(super) fn leave_to_holds(&self, waiting: &[Waiting]) -> Vec<Delegated> {
        let mut leaves = Vec::new();
        for waits in waiting {
            let Some(job) = self.cluster_state.job(&waits.job) else {
                continue;
            };
            let held = self.windows.watched.values().find(|w| {
                let window = w.entry.as_ref().map(|e| &e.window);
                w.whole.hold > 0
                    && window.is_some_and(|w| w.is_for(&job.spec.team, &job.spec.class))
            });
            let parts = held.map_or(Vec::new(), |w| divide(w.whole.hold, self.shard.of));
            let mut left = waits.tasks;
            for (block, part) in parts.into_iter().enumerate() {
                let to = BlockId(block as u32);
                let tasks = part.min(left);
                if to != self.shard.block && tasks > 0 {
                    left -= tasks;
                    leaves.push(Delegated {
                        job: waits.job.clone(),
                        to,
                        tasks,
                    });
                }
            }
        }
        leaves
    }

    /// Says in the log what windows lack, when that changes and now and then.
    pub(super) fn say_what_lacks(&mut self, now: Time) {
        if self.shard.block.0 != 0 {
            return;
        }
        for (name, watch) in &mut self.windows.watched {
            let short = watch.whole.each.iter().find(|(_, n)| n.short.is_some());
            let Some((start_ms, next)) = short else {
                watch.said = None;
                continue;
            };
            let again = watch.said.as_ref().is_none_or(|(why, at)| {
                // A number that changes is not said each second.
                now.since(*at) >= SHORT_AGAIN_S || *why != next.why && now.since(*at) >= 5.0
            });
            if !again {
                continue;
            }
            watch.said = Some((next.why.clone(), now));
            let asked = watch.seen.as_ref().map_or(0, |s| s.asked);
            let ready = watch.seen.as_ref().map_or(0, |s| s.ready);
            tracing::info!(window = %name, start_ms, hold = next.hold, asked, ready, why = %next.why, "calendar");
        }
    }

    /// What operators are shown.
    pub fn windows_shown(&self, now_ms: i64) -> Vec<WindowShown> {
        let mut shown = Vec::new();
        for (name, watch) in &self.windows.watched {
            let Some(seen) = &watch.seen else { continue };
            let records = watch
                .records
                .iter()
                .map(|(start, r)| (*start, r.value.clone()))
                .collect();
            shown.extend(rows(
                name,
                watch.entry.as_ref(),
                &records,
                &watch.whole,
                seen,
                now_ms,
            ));
        }
        shown
    }

    /// What windows lack that is to be rented. Not before it is known which
    /// machines there are: what a former owner rented would be rented again.
    pub(super) fn lacks(&self, now: Time) -> Vec<fleet::Lack> {
        // A list is late by twice its usual lag at most (PROTOCOL).
        let listed = now.since(self.started) > 2.0 * self.cfg.list_lag_s + 2.0;
        let quiet = now.since(self.started) <= self.cfg.silent_s();
        let unheard = quiet && self.links.values().any(|l| !l.fenced() && !l.deleting);
        if self.windows.watched.is_empty() || !listed || unheard {
            return Vec::new();
        }
        let mut lacks = Vec::new();
        for watch in self.windows.watched.values() {
            let Some(window) = watch.entry.as_ref().map(|e| &e.window) else {
                continue;
            };
            let by_zone = self.cluster_state.lacking(&window.name);
            let mut spare = 0;
            let mut open = Vec::new();
            for (zone, tasks) in by_zone {
                match self.type_for(window, zone.as_ref(), now) {
                    Some(kind) => open.push((zone, tasks, kind)),
                    // Nothing is to be had there: other zones have it meanwhile.
                    None => spare += tasks,
                }
            }
            let more = divide(spare, open.len() as u32);
            for ((zone, tasks, kind), more) in open.into_iter().zip(more) {
                lacks.push(fleet::Lack {
                    window: window.name.clone(),
                    spec: spec_of(window, zone, kind),
                    tasks: tasks + more,
                });
            }
        }
        lacks
    }

    /// The type to ask for in a zone: of those named the first that is to be had,
    /// else any. None: there is none that may be had now.
    fn type_for(
        &self,
        window: &Window,
        zone: Option<&Zone>,
        now: Time,
    ) -> Option<Option<TypeName>> {
        let fits = |t: &MachineType| {
            window.each().fits(t.total)
                && t.zones.iter().any(|z| {
                    zone.is_none_or(|own| own == z) && self.may_request(&t.name, z, false, now)
                })
        };
        if window.types.is_empty() {
            return self.types.values().any(|t| fits(t)).then_some(None);
        }
        let mut named = window.types.iter().map(|n| TypeName::from(n.as_str()));
        named
            .find(|n| self.types.get(n).is_some_and(|t| fits(t)))
            .map(Some)
    }

    /// Why a window's room is not rented, if it isn't.
    pub(super) fn refused_for(
        &self,
        window: &Window,
        here: &HoldSeen,
        coming: u32,
        now: Time,
    ) -> Option<Refused> {
        if here.set_aside.saturating_add(coming) >= here.open {
            return None;
        }
        if self.windows.failing_until.is_some_and(|until| now < until) {
            return Some(Refused::Changes);
        }
        let mut sorts = self
            .types
            .values()
            .flat_map(|t| t.zones.iter().map(move |z| (t, z)));
        let mut any = false;
        let closed = sorts.all(|(t, z)| {
            if !window.allows(t.name.as_str(), z.as_str()) || !window.each().fits(t.total) {
                return true;
            }
            any = true;
            !self.may_request(&t.name, z, false, now)
        });
        (any && closed).then_some(Refused::Capacity)
    }

    /// How many tasks' room of a window fits into its team's limit, beside the
    /// team's other work and windows that come first.
    pub(super) fn fits(
        &self,
        window: &Rc<Window>,
        active: &[(Rc<Window>, bool)],
        outside: &BTreeMap<String, Amount>,
    ) -> (u32, Option<String>) {
        let among = active
            .iter()
            .filter(|(w, holds)| *holds || w.name == window.name);
        let wants: Vec<Want> = among
            .map(|(w, _)| Want {
                name: w.name.clone(),
                team: w.team.clone(),
                each: w.each(),
                tasks: w.tasks,
            })
            .collect();
        let teams = self.cfg.teams.iter().map(|t| {
            let used = outside.get(&*t.name).copied().unwrap_or_default();
            let room = TeamRoom {
                guarantee: t.guarantee - used,
                limit: t.limit - used,
            };
            (t.name.to_string(), room)
        });
        let got = arbitrate(&wants, &teams.collect(), None);
        let got = got.into_iter().find(|g| g.name == window.name);
        got.map_or((0, None), |g| (g.tasks, g.gives_way_to))
    }
}
