//! Troubles of a soak: controllers and machines that are back at once, machines that hang, commands
//! that are held back, transactions that come late.

use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::Rng;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::nodes::CommandDelay;
use crate::store::{ScriptedOutcome, TransactionFault};
use crate::World;

/// Time for which a killed controller is away.
const AWAY: Duration = Duration::from_millis(300);
/// Shortest and longest time for which a machine hangs or commands are delayed, in seconds.
const SHORTEST_DELAY_S: f64 = 0.2;
const LONGEST_DELAY_S: f64 = 2.5;

/// Draws one trouble, and has it begin.
pub(super) async fn draw(world: &mut World, rng: &mut StdRng, controllers: usize) {
    let machines = world.nodes.borrow().names_up();
    let machine = machines[rng.random_range(0..machines.len())].clone();
    let for_s = Duration::from_secs_f64(rng.random_range(SHORTEST_DELAY_S..LONGEST_DELAY_S));
    match rng.random_range(0..6) {
        0 | 1 => {
            let killed = world.leader();
            let killed = killed.unwrap_or_else(|| rng.random_range(0..controllers));
            world.kill_controller(killed);
            sleep(AWAY).await;
            world.start_controller(killed);
        }
        2 => world.nodes.borrow_mut().restart(&machine),
        3 => hang(world, machine, for_s),
        4 => delay_commands(world, machine, for_s),
        _ => {
            let late = TransactionFault::next(ScriptedOutcome::Late, "h/job/");
            world.store.borrow_mut().inject(late);
        }
    }
}

/// A machine hangs for so long, and goes on.
fn hang(world: &World, machine: String, for_s: Duration) {
    world.nodes.borrow_mut().hang(&machine);
    let nodes = Rc::clone(&world.nodes);
    spawn_local(async move {
        sleep(for_s).await;
        nodes.borrow_mut().resume(&machine);
    });
}

/// Direct commands to a machine are held back for so long, and then executed.
fn delay_commands(world: &World, machine: String, for_s: Duration) {
    let delay = CommandDelay {
        machine: Some(machine),
        ..CommandDelay::default()
    };
    world.nodes.borrow_mut().faults.command_delay = Some(delay);
    let nodes = Rc::clone(&world.nodes);
    spawn_local(async move {
        sleep(for_s).await;
        nodes.borrow_mut().faults.command_delay = None;
        nodes.borrow_mut().release_commands();
    });
}

/// Ends what of the troubles still goes on.
pub(super) fn end(world: &World) {
    let mut nodes = world.nodes.borrow_mut();
    nodes.faults.command_delay = None;
    nodes.fail_starts(0.0, 0);
    nodes.release_commands();
    drop(nodes);
    let mut store = world.store.borrow_mut();
    store.release_late();
    store.end_faults();
}
