//! Faults of machines and of the lines to them: mute and hanging machines, and
//! commands that are held back and carried out once, later.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Instant;

use sorrelhinge_protocol::worker::DirectCommands;

use super::Nodes;
use crate::history::Event;

/// Which direct commands are held back.
#[derive(Clone, Debug, Default)]
pub struct Hold {
    /// Those of a grant, by its number in the fencing token; none: any.
    pub grant: Option<u64>,
    /// Those to a machine; none: any.
    pub machine: Option<String>,
    /// Only those with a start.
    pub starts: bool,
}

impl Hold {
    /// Whether these commands to a machine are held back.
    fn concerns(&self, machine: &str, commands: &DirectCommands) -> bool {
        let start = |o: &_| matches!(o, sorrelhinge_protocol::worker::Command::Start { .. });
        self.grant
            .is_none_or(|g| commands.fencing_token.grant() == g)
            && self.machine.as_ref().is_none_or(|m| m == machine)
            && (!self.starts || commands.commands.iter().any(start))
    }
}

/// What became of commands that were held back.
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
    /// Direct commands that are held back from now on.
    pub hold: Option<Hold>,
    /// Those that are held back, by machine.
    held: Vec<(String, DirectCommands)>,
}

impl Nodes {
    /// How many direct commands are held back.
    pub fn held_commands(&self) -> usize {
        self.faults.held.len()
    }

    /// Holds a direct command back if the faults say so.
    pub(super) fn holds(&mut self, id: &str, commands: &DirectCommands) -> bool {
        let hold = self.faults.hold.as_ref();
        let held = hold.is_some_and(|h| h.concerns(id, commands)) || self.is_hung(id);
        if held {
            self.faults.held.push((id.to_owned(), commands.clone()));
        }
        held
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

    /// Carries out the commands that were held back, each once, on machines that
    /// don't hang. Nobody hears the answers.
    pub fn release_commands(&mut self) -> Released {
        self.release(|_| true)
    }

    /// Carries out what was held back for these machines.
    fn release(&mut self, of: impl Fn(&str) -> bool) -> Released {
        let mut released = Released::default();
        for (id, commands) in std::mem::take(&mut self.faults.held) {
            if !of(&id) || self.is_hung(&id) {
                self.faults.held.push((id, commands));
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
