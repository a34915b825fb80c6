//! What failure domains cost in steps, at the size that the issue names. Steps
//! are counted, not time, so that the verdict is the same on every machine.

#[path = "../examples/placing.rs"]
mod placing;

#[test]
fn domains_cost_at_most_a_fifth_more_steps() {
    for every in [4, 1] {
        let off = placing::place(2000, 200, every, false);
        let on = placing::place(2000, 200, every, true);
        let per_task = |c: placing::Cost| c.steps as f64 / c.placed as f64;
        assert!(
            off.placed > 2000 && on.placed > 2000,
            "{} and {} tasks placed",
            off.placed,
            on.placed
        );
        assert!(
            per_task(on) <= 1.2 * per_task(off),
            "one of {every}: {off:?} {on:?}"
        );
    }
}
