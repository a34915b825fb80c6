//! Jobs that fail on every machine, and machines that fail every job.

use crate::*;

/// Mistaken jobs cost a start of each task, then one now and then; no machine is
/// given back for them, and the others' work goes on. Another owner finds out
/// with one start what this one knew.
#[test]
fn mistaken_jobs_cost_few_starts_and_no_machine() {
    let mut world = calm(12);
    let wrong: Vec<String> = (0..3).map(|n| array(&mut world, n, MISTAKEN, 30)).collect();
    let starts = |world: &World| -> Vec<usize> {
        let of = |id: &String| world.starts_of.get(id).copied().unwrap_or(0);
        wrong.iter().map(of).collect()
    };
    for step in 0..200 {
        world.step(false);
        if step == 40 {
            let right = array(&mut world, 10, "batch", 40);
            assert_eq!(right, "run-000010");
        }
    }
    let before = starts(&world);
    assert!(
        before.iter().all(|n| (3..=30 + 6).contains(n)),
        "{before:?} starts in 100 s"
    );
    let names: Vec<&str> = world.workers.iter().map(|w| w.id.as_str()).collect();
    assert!(
        names.iter().all(|id| *id < "vm-000100"),
        "given back: {names:?}"
    );
    let (_, right) = &world.store.keys["h/job/run-000010"];
    assert_eq!(right["p"], "d", "what is not mistaken ends meanwhile");
    assert_eq!(world.starts_of["run-000010"], 40);
    world.begin_leadership();
    for _ in 0..40 {
        world.step(false);
    }
    let more: usize = starts(&world).iter().sum::<usize>() - before.iter().sum::<usize>();
    assert!(
        (3..=3 * 4).contains(&more),
        "{more} starts by the next owner in 20 s"
    );
}

/// A machine on which every task fails is found and given back, also while
/// mistaken jobs fail there and everywhere else, and costs other jobs a few starts.
#[test]
fn a_faulty_machine_is_found_among_mistaken_jobs() {
    let mut world = calm(12);
    world.faulty = Some("vm-000003".into());
    for n in 0..3 {
        array(&mut world, n, MISTAKEN, 20);
    }
    let mut right = Vec::new();
    for step in 0..240 {
        world.step(false);
        if step % 20 == 0 {
            right.push(array(&mut world, 10 + step, "batch", 30));
        }
    }
    for _ in 0..120 {
        world.step(false);
    }
    let there = |id: &str| world.workers.iter().any(|w| w.id == id);
    assert!(!there("vm-000003"), "the faulty machine is still there");
    let kept = (0..12).filter(|n| there(&format!("vm-{n:06}"))).count();
    assert_eq!(kept, 11, "only the faulty one was given back");
    for id in right {
        let starts = world.starts_of[&id];
        assert!(starts <= 30 + 8, "{id}: {starts} starts");
        let (_, record) = &world.store.keys[&format!("h/job/{id}")];
        assert_eq!(record["p"], "d", "{id} is done");
    }
}
