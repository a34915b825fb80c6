//! Cancellations while owners, workers and their helpers are apart.

use serde_json::json;
use sorrelhinge::control::lease_delegation::may_renew_for_owner;
use sorrelhinge::state::view::View;
use sorrelhinge::types::{JobId, Revision};

use super::meet;
use crate::*;

/// A start of a job is held back between the owner and a machine whose lease another
/// controller renews; the job is cancelled, and the start arrives after `cancel_s`.
#[test]
fn a_held_back_start_meets_leases_that_others_renew() {
    meet(|world| {
        world.run_for(4.0);
        world.separate_owners(CANCEL_S + 20.0);
        for id in 0..5 {
            array(world, id, ENDLESS, 4);
        }
        world.run_for(4.0);
        world.confirm_all_cancelled();
        world.run_for(CANCEL_S + 20.0);
        array(world, 90, "batch", 1);
        world.run_for(30.0);
    });
}

/// The decision alone: a cancelled job's claim on a machine forbids to renew its
/// lease, also while no heartbeat shows the task; once the claim is gone it may be.
#[test]
fn a_cancelled_claim_that_may_yet_start_is_not_vouched_for() {
    let mut world = calm(1);
    let uid = array(&mut world, 0, ENDLESS, 1);
    let key = format!("h/job/{uid}");
    let mut record = world.store.keys[&key].1.clone();
    record["i"] = json!({"a": 2, "d": 0, "c": [[0, 1, "vm-000000"]]});
    world.store.write(&key, record.clone());
    world.workers[0].fencing_token = 1 << 20;
    let heartbeat = world.workers[0].heartbeat();
    let mut view = View::default();
    view.replace(Revision(0), Vec::new());
    assert!(world.store.follow(&mut view));
    assert!(view.job(&JobId::from(&*uid)).is_some());
    assert!(
        may_renew_for_owner(&view, &heartbeat),
        "a live job's start may arrive"
    );
    record["p"] = json!("c");
    world.store.write(&key, record.clone());
    assert!(world.store.follow(&mut view));
    assert!(
        !may_renew_for_owner(&view, &heartbeat),
        "it may arrive late"
    );
    record["i"] = json!({"a": 2, "d": 0, "c": []});
    world.store.write(&key, record);
    assert!(world.store.follow(&mut view));
    assert!(may_renew_for_owner(&view, &heartbeat), "provably gone");
}

/// Every team is at its limit; jobs are cancelled whose machines are cut off or hang;
/// the leader changes. Their room counts as used until proof, also for the next one.
#[test]
fn teams_at_their_limit_while_cancelled_machines_are_out_of_reach() {
    meet(|world| {
        let jobs = world.fill_red();
        for at in 0..world.workers.len() {
            match at % 3 {
                0 => world.hang(at, 18.0),
                1 => world.workers[at].silent_until = world.now + 15.0,
                _ => {}
            }
        }
        world.run_for(0.5);
        for id in jobs.iter().take(4) {
            world.confirm_cancelled(id);
        }
        for id in 50..54 {
            array(world, id, ENDLESS, 4);
        }
        world.run_for(1.0);
        for _ in 0..3 {
            world.begin_leadership();
            world.run_for(7.0);
        }
    });
}
