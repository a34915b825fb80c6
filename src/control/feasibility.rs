//! Feasibility checks of submitted jobs, by team, machine types, topology and dependencies.

use super::submit_error::{Infeasible, SubmitError};
use super::Node;
use crate::scheduler::ClusterState;
use crate::types::{JobId, JobSpec, Kind};

impl Node {
    /// Checks that a job can run, leaving aside the jobs that it depends on.
    pub(super) fn check_feasible(&self, spec: &JobSpec) -> Result<(), SubmitError> {
        self.check_team_limit(spec)?;
        self.check_machine_types(spec)?;
        self.check_topology(spec)?;
        Ok(())
    }

    /// Checks that the job's team is known and that its limit covers what the job needs at
    /// once.
    fn check_team_limit(&self, spec: &JobSpec) -> Result<(), Infeasible> {
        let mut teams = self.cfg.teams.iter();
        let team = teams.find(|team| team.name == spec.team);
        let team = team.ok_or(Infeasible::UnknownTeam)?;
        if !spec.each.times(spec.at_once()).fits_team(team.limit) {
            return Err(Infeasible::OverTeamLimit);
        }
        Ok(())
    }

    /// Checks that one task of the job fits a machine type that the job allows. Returns
    /// [`SubmitError::Unavailable`] until the cloud's machine types are known.
    fn check_machine_types(&self, spec: &JobSpec) -> Result<(), SubmitError> {
        let types = self.catalog.types();
        if types.is_empty() {
            return Err(SubmitError::Unavailable);
        }
        let fits = types.iter().any(|machine_type| {
            let allowed = spec.types.as_ref();
            let zone = spec.zone.as_ref();
            spec.each.fits(machine_type.total)
                && allowed.is_none_or(|types| types.contains(&machine_type.name))
                && zone.is_none_or(|zone| machine_type.zones.contains(zone))
        });
        if !fits {
            return Err(Infeasible::FitsNoMachineType.into());
        }
        Ok(())
    }

    /// Checks that the topology, if there is one, can meet the job's placement rules.
    fn check_topology(&self, spec: &JobSpec) -> Result<(), Infeasible> {
        let Some(topology) = self.catalog.topology() else {
            return Ok(());
        };
        let policy = ClusterState::policy_of(Some(&topology), spec);
        match policy.never(&topology, spec) {
            Some(reason) => Err(Infeasible::PlacementRules(reason)),
            None => Ok(()),
        }
    }

    /// Checks that all jobs which a new one needs were accepted and can end. The result is
    /// certain only if the view contains all jobs that were accepted before the new one was
    /// submitted.
    pub(super) fn check_dependencies(&self, id: &JobId, needs: &[JobId]) -> Result<(), Infeasible> {
        if needs.contains(id) {
            return Err(Infeasible::DependsOnItself);
        }
        let view = self.store.view();
        for need in needs {
            let Some(entry) = view.job(need) else {
                return Err(Infeasible::UnknownDependency(need.clone()));
            };
            let spec = entry.record.value.spec.as_ref();
            if spec.is_some_and(|spec| spec.kind == Kind::Service) {
                return Err(Infeasible::DependsOnService(need.clone()));
            }
        }
        Ok(())
    }
}
