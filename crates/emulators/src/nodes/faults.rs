//! Faults of machines and of the lines to them: mute and hanging machines, and
//! commands that are delayed and carried out once, later.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Instant;

use sorrelhinge_protocol::worker::DirectCommands;

use super::Nodes;
use crate::history::Event;

/// Which direct commands are delayed.
#[derive(Clone, Debug, Default)]
pub struct CommandDelay {
    /// Those of a grant, by its number in the fencing token; none: any.
    pub grant: Option<u64>,
    /// Those to a machine; none: any.
    pub machine: Option<String>,
    /// Only those with a start.
    pub starts: bool,
}

impl CommandDelay {
    /// Whether these commands to a machine are delayed.
    fn concerns(&self, machine: &str, commands: &DirectCommands) -> bool {
        let start = |o: &_| matches!(o, sorrelhinge_protocol::worker::Command::Start { .. });
        self.grant
            .is_none_or(|g| commands.fencing_token.grant() == g)
            && self.machine.as_ref().is_none_or(|m| m == machine)
            && (!self.starts || commands.commands.iter().any(start))
    }
}

/// What became of commands that were delayed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Released {
    /// Carried out: fencing token and incarnation still matched.
    pub carried_out: usize,
    /// Dropped by their machines.
    pub dropped: usize,
}

/// The faults at one time.
#[derive(Default)]
pub struct Faults {
    /// Machines that reach no controller, while direct commands reach them.
    pub mute: BTreeSet<String>,
    /// Direct commands that are delayed from now on.
    pub command_delay: Option<CommandDelay>,
    /// Those that are delayed, by machine.
    delayed: Vec<(String, DirectCommands)>,
}

impl Nodes {
    /// How many direct commands are delayed.
    pub fn delayed_commands(&self) -> usize {
        self.faults.delayed.len()
    }

    /// Keeps a direct command back if the faults say so: whether it does.
    pub(super) fn delays(&mut self, id: &str, commands: &DirectCommands) -> bool {
        let delay = self.faults.command_delay.as_ref();
        let delayed = delay.is_some_and(|d| d.concerns(id, commands)) || self.is_hung(id);
        if delayed {
            self.faults.delayed.push((id.to_owned(), commands.clone()));
        }
        delayed
    }

    /// Whether a machine hangs.
    pub fn is_hung(&self, id: &str) -> bool {
        self.all[id].hung_since.is_some()
    }

    /// A machine executes nothing from now on. Its lease runs on.
    pub fn hang(&mut self, id: &str) {
        let node = self.all.get_mut(id).expect("it is there");
        node.hung_since.get_or_insert_with(Instant::now);
        self.recorder.note(Event::MachineOut(id.into()));
    }

    /// A machine goes on where it was, if its lease allows, and carries out the
    /// commands that came meanwhile.
    pub fn resume(&mut self, id: &str) -> Released {
        self.advance(id);
        let node = self.all.get_mut(id).expect("it is there");
        let hung = node
            .hung_since
            .take()
            .map_or_else(Default::default, |t| t.elapsed());
        for task in node.tasks.values_mut() {
            task.since += hung;
        }
        self.recorder.note(Event::MachineBack(id.into()));
        self.release(|machine| machine == id)
    }

    /// Carries out the commands that were delayed, each once, on machines that
    /// don't hang. Nobody hears the answers.
    pub fn release_commands(&mut self) -> Released {
        self.release(|_| true)
    }

    /// Carries out what was delayed for these machines.
    fn release(&mut self, of: impl Fn(&str) -> bool) -> Released {
        let mut released = Released::default();
        for (id, commands) in std::mem::take(&mut self.faults.delayed) {
            if !of(&id) || self.is_hung(&id) {
                self.faults.delayed.push((id, commands));
                continue;
            }
            if !self.all[&id].gone && self.obey(&id, &commands) {
                released.carried_out += 1;
            } else {
                released.dropped += 1;
            }
        }
        released
    }
}

/// The machines that run a job's tasks.
pub fn machines_of(nodes: &Rc<RefCell<Nodes>>, uid: &str) -> Vec<String> {
    let nodes = nodes.borrow();
    let with = nodes.all.values().filter(|n| {
        let mut tasks = n.tasks.iter();
        !n.gone
            && tasks.any(|((task_name, _), t)| {
                t.phase != "ended" && task_name.rsplit_once('/').is_some_and(|(j, _)| j == uid)
            })
    });
    with.map(|n| n.id.clone()).collect()
}
