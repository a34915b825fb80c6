//! Images that many machines want: which starts wait for their stage, and whom the
//! others take their image from. What is known and recorded of it is in
//! [`super::image_distribution`]; it is compared with the claims in [`super::rollout_refresh`].

use std::net::SocketAddr;

use sorrelhinge_image_distribution::plan::Source as From;

use super::active_rollout::{
    image_state, ActiveRollout, CompleteMachine, ImageState, StartingMachine,
};
use super::Core;
use crate::agent_client::Heartbeat;
use crate::types::{Image, JobSpec, MachineId, TaskId, Time};

impl Core {
    /// Whom a machine takes a job's image from if it is started now, the best
    /// first, and nobody: from the origin. None: the start has to wait for its
    /// stage; the machine is woken as soon as it may go.
    pub(super) fn sources_for(
        &mut self,
        id: &MachineId,
        spec: &JobSpec,
        now: Time,
    ) -> Option<Vec<SocketAddr>> {
        if !self.image_distribution.stages(spec) || !self.keep_rollout(&spec.image) {
            return Some(Vec::new());
        }
        let path = self.path_of(id);
        let machine = self.cluster_state.machines().get(id);
        let complete = machine.is_some_and(|m| m.cache.has(&spec.image));
        let starting = StartingMachine {
            id,
            path: &path,
            complete,
        };
        let image = &spec.image;
        let from = self.image_distribution.start_on(image, &starting, now)?;
        let addr = |source: &From| match source {
            From::Origin => None,
            From::Machine(id) => self.agents.addr(id),
        };
        Some(from.iter().filter_map(addr).collect())
    }

    /// A task runs, so its machine has the image.
    pub(super) fn image_ran(&mut self, task: &TaskId) {
        let Some(spec) = self.cluster_state.job(&task.job).map(|j| j.spec.clone()) else {
            return;
        };
        if !self.image_distribution.stages(&spec) {
            return;
        }
        let Some(machine) = self.cluster_state.claim_of(task).map(|c| c.machine.clone()) else {
            return;
        };
        self.image_distribution.arrived(&spec.image, &machine);
    }

    /// Has a rollout for an image; false if it has to do without one.
    pub(super) fn keep_rollout(&mut self, image: &Image) -> bool {
        if self.image_distribution.has_rollout(image) {
            return true;
        }
        let Some(rollout) = self.image_distribution.new_rollout(image) else {
            return false;
        };
        let machines = self.cluster_state.machines().iter();
        let complete = machines
            .filter(|(id, machine)| machine.cache.has(image) && !self.awaits(id, image))
            .map(|(id, _)| CompleteMachine {
                id: id.clone(),
                path: self.path_of(id),
            });
        let begun = ActiveRollout::begin(rollout, complete);
        self.image_distribution.begin(image, begun);
        true
    }

    /// Whether a machine has tasks that need an image, and none that runs on it.
    fn awaits(&self, id: &MachineId, image: &Image) -> bool {
        let needs = |task: &TaskId| {
            let job = self.cluster_state.job(&task.job);
            job.is_some_and(|j| j.spec.image == *image)
        };
        let claims = self.cluster_state.claims_on(id);
        let mut needing = claims.iter().filter(|t| needs(t)).peekable();
        let any = needing.peek().is_some();
        let furthest = needing.filter_map(|t| self.cluster_state.claim_of(t));
        any && furthest.map(image_state).max() < Some(ImageState::Runs)
    }

    /// A machine's failure domains, its zone first.
    pub(super) fn path_of(&self, id: &MachineId) -> Vec<String> {
        let Some(machine) = self.cluster_state.machines().get(id) else {
            return Vec::new();
        };
        let zone = machine.zone.to_string();
        let place = self
            .cluster_state
            .topology()
            .map(|t| t.tree.path(machine.place));
        let names = place.into_iter().flat_map(|p| p.split('/'));
        let inner = names.filter(|n| !n.is_empty() && *n != zone);
        let inner: Vec<String> = inner.map(str::to_owned).collect();
        std::iter::once(zone).chain(inner).collect()
    }

    /// A machine says that it has all of an image, which is believed of one that
    /// is expected there: if it isn't so, who is sent to it asks the next one.
    pub(super) fn record_served_images(&mut self, heartbeat: &Heartbeat) {
        if self.image_distribution.least_gb.is_none() {
            return;
        }
        let machine = self.cluster_state.machines().get(&heartbeat.machine);
        let news =
            |name: &Image| machine.is_some_and(|m| m.cache.expects(name) && !m.cache.has(name));
        let complete = heartbeat
            .images
            .iter()
            .filter(|i| i.of > 0 && i.parts >= i.of);
        let complete = complete.map(|i| Image::from(i.image.as_str()));
        for image in complete.filter(news).collect::<Vec<_>>() {
            self.cluster_state
                .edit_machine(&heartbeat.machine, |m| m.cache.is_there(&image));
        }
    }

    /// Wakes machines whose start waited and may be sent now, a few at a time.
    pub(super) fn wake_staged(&mut self, now: Time) {
        for id in self.image_distribution.take_due_starts(now) {
            self.wake(&id);
        }
    }
}
