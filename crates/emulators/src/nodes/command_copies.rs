//! Copies of direct commands: a call that a worker has executed and answered reaches it again,
//! up to several leases later and several times. Nobody waits for the answers.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sorrelhinge_protocol::worker::DirectCommands;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::Nodes;
use crate::LEASE_S;

/// Most copies of one call.
const MAX_COPIES: u32 = 4;
/// Longest delay of a copy, in leases.
const LONGEST_DELAY_LEASES: f64 = 6.0;
/// Copies of which the delay is drawn from less than a lease.
const EARLY_SHARE: f64 = 0.6;
/// Shortest delay of a copy, in seconds.
const SHORTEST_DELAY_S: f64 = 0.002;

/// Which direct commands arrive again, and what became of the copies.
#[derive(Debug, Default)]
pub struct CommandCopies {
    draw: Option<Draw>,
    /// Copies that the workers executed, as fencing token and incarnation allowed it.
    pub executed: usize,
    /// Copies that the workers refused.
    pub refused: usize,
}

/// How copies are drawn.
#[derive(Debug)]
struct Draw {
    /// Share of the executed calls of which copies arrive.
    share: f64,
    rng: StdRng,
}

impl Draw {
    /// Draws the delays of the copies of one call, none for most.
    fn delays(&mut self) -> Vec<Duration> {
        if !self.rng.random_bool(self.share) {
            return Vec::new();
        }
        let count = self.rng.random_range(1..=MAX_COPIES);
        (0..count).map(|_| self.delay()).collect()
    }

    fn delay(&mut self) -> Duration {
        let leases = if self.rng.random_bool(EARLY_SHARE) {
            1.0
        } else {
            LONGEST_DELAY_LEASES
        };
        let seconds = self.rng.random_range(SHORTEST_DELAY_S..leases * LEASE_S);
        Duration::from_secs_f64(seconds)
    }
}

impl Nodes {
    /// Delivers copies of that share of the executed direct commands from now on.
    pub fn copy_commands(&mut self, share: f64, seed: u64) {
        let rng = StdRng::seed_from_u64(seed);
        self.command_copies.draw = Some(Draw { share, rng });
    }

    /// Delivers a copy of direct commands to a worker.
    fn deliver_copy(&mut self, id: &str, commands: &DirectCommands) {
        if self.all[id].gone || self.is_hung(id) || self.is_cut(id) {
            return;
        }
        if self.obey(id, commands) {
            self.command_copies.executed += 1;
        } else {
            self.command_copies.refused += 1;
        }
    }

    /// The machine is back at once: its tasks and the fencing token are lost, and the next
    /// incarnation begins.
    pub fn restart(&mut self, id: &str) {
        self.end_incarnation(id, std::time::Instant::now());
        let node = self.all.get_mut(id).expect("it is there");
        node.fencing_token = 0;
    }
}

/// Draws the copies of direct commands that a worker has executed, and delivers them when they
/// are due.
pub(super) fn draw(nodes: &Rc<RefCell<Nodes>>, id: &str, commands: &DirectCommands) {
    let delays = match &mut nodes.borrow_mut().command_copies.draw {
        Some(draw) => draw.delays(),
        None => return,
    };
    for delay in delays {
        let (nodes, id, commands) = (nodes.clone(), id.to_owned(), commands.clone());
        spawn_local(async move {
            sleep(delay).await;
            nodes.borrow_mut().deliver_copy(&id, &commands);
        });
    }
}
