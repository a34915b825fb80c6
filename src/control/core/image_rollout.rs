//! This module connects task starts with staged image rollouts. A rollout serves machines in
//! stages. This module decides which start commands wait for a later stage, and from which machines
//! the other machines fetch the image. [`super::image_distribution`] holds the state and the
//! records of rollouts, and [`super::rollout_refresh`] reconciles them with the claims.

use std::net::SocketAddr;

use sorrelhinge_image_distribution::plan::Source as ImageSource;

use super::active_rollout::{
    image_state, ActiveRollout, CompleteMachine, ImageState, StartingMachine,
};
use super::Core;
use crate::agent_client::Heartbeat;
use crate::types::{Image, JobSpec, MachineId, TaskId, Time};

impl Core {
    /// Returns the sources from which a machine fetches a job's image if a task starts there now,
    /// the best first. An empty list means the origin. Returns `None` if the start command has to
    /// wait for a later stage of the rollout. The owner contacts the machine as soon as the command
    /// may be sent.
    pub(super) fn sources_for(
        &mut self,
        id: &MachineId,
        spec: &JobSpec,
        now: Time,
    ) -> Option<Vec<SocketAddr>> {
        if !self.image_distribution.is_staged(spec) || !self.ensure_rollout(&spec.image) {
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
        let addr = |source: &ImageSource| match source {
            ImageSource::Origin => None,
            ImageSource::Machine(id) => self.agents.addr(id),
        };
        Some(from.iter().filter_map(addr).collect())
    }

    /// Records that the machine of a running task has the task's image.
    pub(super) fn record_image_complete(&mut self, task: &TaskId) {
        let Some(spec) = self.cluster_state.job(&task.job).map(|j| j.spec.clone()) else {
            return;
        };
        if !self.image_distribution.is_staged(&spec) {
            return;
        }
        let Some(machine) = self.cluster_state.claim_of(task).map(|c| c.machine.clone()) else {
            return;
        };
        self.image_distribution.arrived(&spec.image, &machine);
    }

    /// Creates a rollout for an image if it has none. Returns `false` if the image has to be
    /// distributed without a rollout.
    pub(super) fn ensure_rollout(&mut self, image: &Image) -> bool {
        if self.image_distribution.has_rollout(image) {
            return true;
        }
        let Some(rollout) = self.image_distribution.new_rollout(image) else {
            return false;
        };
        let machines = self.cluster_state.machines().iter();
        let complete = machines
            .filter(|(id, machine)| machine.cache.has(image) && !self.awaits_image(id, image))
            .map(|(id, _)| CompleteMachine {
                id: id.clone(),
                path: self.path_of(id),
            });
        let begun = ActiveRollout::begin(rollout, complete);
        self.image_distribution.begin(image, begun);
        true
    }

    /// Returns whether a machine has tasks that need an image, and none of them runs.
    fn awaits_image(&self, id: &MachineId, image: &Image) -> bool {
        let needs = |task: &TaskId| {
            let job = self.cluster_state.job(&task.job);
            job.is_some_and(|j| j.spec.image == *image)
        };
        let claims = self.cluster_state.claims_on(id);
        let mut needing = claims.iter().filter(|t| needs(t)).peekable();
        let any = needing.peek().is_some();
        let furthest = needing.filter_map(|t| self.cluster_state.claim_of(t));
        any && furthest.map(image_state).max() < Some(ImageState::Running)
    }

    /// Returns the failure domains of a machine, its zone first.
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

    /// Records the complete images that a heartbeat reports. A report counts only for an image
    /// that is expected on the machine. If the report is wrong, a machine that is sent there
    /// for the image asks its next source.
    pub(super) fn record_served_images(&mut self, heartbeat: &Heartbeat) {
        if self.image_distribution.min_image_gb.is_none() {
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

    /// Queues machines for which start commands were held back by an image rollout, if the commands
    /// may be sent now. One call queues a few machines of each rollout.
    pub(super) fn wake_staged(&mut self, now: Time) {
        for id in self.image_distribution.take_due_starts(now) {
            self.queue_contact(&id);
        }
    }
}
