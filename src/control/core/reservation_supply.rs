//! This module determines the supply for a window of the release calendar: machine types, free
//! capacity in the team's limit, and whether the cloud refuses more machines.

use std::rc::Rc;

use sorrelhinge_reservations::plan::{arbitrate, CapacityRequest, Refused, TeamFreeCapacity};
use sorrelhinge_reservations::settings::Window;

use super::reservation_usage::ReservationUsage;
use super::Core;
use crate::scheduler::ReservationStatus;
use crate::types::{Amount, MachineType, Time, TypeName, Zone};

/// Machine type to request from the cloud for a window's tasks.
pub(super) enum TypeChoice {
    /// Any machine type that fits the window's tasks, because the window names no type.
    Any,
    /// This machine type, which the window names.
    Named(TypeName),
}

/// Common properties of the machines on which a window's tasks may run.
pub(super) struct Supply {
    /// Shortest usual boot time of the suitable machine types, in seconds. 0 if no machine type is
    /// suitable.
    pub(super) boot_s: f64,
    /// Longest usual boot time of the suitable machine types, in seconds.
    pub(super) slowest_boot_s: f64,
    /// Lowest rate at which one of the machines fetches images, in GB per second. Infinite if
    /// no machine type is suitable.
    pub(super) fetch_gb_per_s: f64,
    /// Number of the window's tasks that fit on the largest of the machines.
    pub(super) tasks_per_machine: u32,
}

/// Free capacity for a window in its team's limit.
#[derive(Default)]
pub(super) struct QuotaHeadroom {
    /// Number of the window's tasks that fit into the free part of the team's limit.
    pub(super) tasks: u32,
    /// Window with precedence that takes the capacity that this window lacks in the team's limit.
    pub(super) gives_way_to: Option<String>,
}

impl Core {
    /// Returns the supply of the machine types that a window allows, for tasks of size `each`.
    pub(super) fn supply(&self, window: Option<&Rc<Window>>, each: Amount) -> Supply {
        let may_use = |t: &MachineType, window: &Window| {
            let mut zones = t.zones.iter();
            zones.any(|z| window.allows(t.name.as_str(), z.as_str()))
        };
        let allowed: Vec<&Rc<MachineType>> = self
            .types
            .values()
            .filter(|t| each.fits(t.total))
            .filter(|t| window.is_none_or(|w| may_use(t, w)))
            .collect();
        let boots = allowed.iter().map(|t| t.boot_s);
        let shortest = boots.clone().fold(f64::INFINITY, f64::min);
        let rates = allowed.iter().map(|t| t.fetch_gb_per_s);
        let tasks = allowed.iter().map(|t| each.how_many(t.total));
        Supply {
            boot_s: if shortest.is_finite() { shortest } else { 0.0 },
            slowest_boot_s: boots.fold(0.0, f64::max),
            fetch_gb_per_s: rates.fold(f64::INFINITY, f64::min),
            tasks_per_machine: tasks.max().unwrap_or(1),
        }
    }

    /// Returns the size of an image in GB, taken from a current or recent job. Returns 0 if no
    /// such job uses the image.
    pub(super) fn image_gb(&self, image: &str) -> f64 {
        let jobs = self.cluster_state.jobs().values().map(|j| &j.spec);
        let recent = self.scaling.arrivals.iter().map(|a| a.spec());
        let found = jobs.chain(recent).find(|s| s.image.as_str() == image);
        found.map_or(0.0, |s| s.image_gb)
    }

    /// Returns the machine type to request in a zone: the first available one of the types that
    /// the window names, or any type if it names none. Returns `None` if no suitable type is
    /// available now.
    pub(super) fn type_for(
        &self,
        window: &Window,
        zone: Option<&Zone>,
        now: Time,
    ) -> Option<TypeChoice> {
        let fits = |t: &MachineType| {
            window.each().fits(t.total)
                && t.zones.iter().any(|z| {
                    zone.is_none_or(|own| own == z) && self.may_request(&t.name, z, false, now)
                })
        };
        if window.types.is_empty() {
            return self
                .types
                .values()
                .any(|t| fits(t))
                .then_some(TypeChoice::Any);
        }
        let mut named = window.types.iter().map(|n| TypeName::from(n.as_str()));
        named
            .find(|n| self.types.get(n).is_some_and(|t| fits(t)))
            .map(TypeChoice::Named)
    }

    /// Returns why a window's missing capacity is not requested from the cloud. Returns `None`
    /// if nothing is missing or the request is possible.
    pub(super) fn refused_for(
        &self,
        window: &Window,
        here: &ReservationStatus,
        pending_tasks: u32,
        now: Time,
    ) -> Option<Refused> {
        if here.reserved_tasks.saturating_add(pending_tasks) >= here.open {
            return None;
        }
        if self.windows.failing_until.is_some_and(|until| now < until) {
            return Some(Refused::Changes);
        }
        let mut offers = self
            .types
            .values()
            .flat_map(|t| t.zones.iter().map(move |z| (t, z)));
        let mut any = false;
        let closed = offers.all(|(t, z)| {
            if !window.allows(t.name.as_str(), z.as_str()) || !window.each().fits(t.total) {
                return true;
            }
            any = true;
            !self.may_request(&t.name, z, false, now)
        });
        (any && closed).then_some(Refused::Capacity)
    }

    /// Returns how many tasks of a window fit into its team's limit, beside the team's other
    /// work and the windows with precedence.
    pub(super) fn quota_headroom(
        &self,
        window: &Window,
        usage: &ReservationUsage,
    ) -> QuotaHeadroom {
        let among = usage.active.iter();
        let among = among.filter(|a| a.reserved || a.window.name == window.name);
        let requests: Vec<CapacityRequest> = among
            .map(|a| CapacityRequest {
                name: a.window.name.clone(),
                team: a.window.team.clone(),
                each: a.window.each(),
                tasks: a.window.tasks,
            })
            .collect();
        let teams = self.cfg.teams.iter().map(|t| {
            let used = usage.used_outside_windows(&t.name);
            let free_capacity = TeamFreeCapacity {
                guarantee: t.guarantee - used,
                limit: t.limit - used,
            };
            (t.name.to_string(), free_capacity)
        });
        let got = arbitrate(&requests, &teams.collect(), None);
        let got = got.into_iter().find(|g| g.name == window.name);
        got.map_or_else(QuotaHeadroom::default, |g| QuotaHeadroom {
            tasks: g.tasks,
            gives_way_to: g.gives_way_to,
        })
    }
}
