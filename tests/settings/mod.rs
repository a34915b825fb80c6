//! Settings that several tests use.

use std::rc::Rc;

use sorrelhinge::config::Config;

/// Settings of a small world: two zones, two teams whose amounts are these many
/// times the smallest.
pub(crate) fn config(scale: f64) -> Rc<Config> {
    let (red, max, blue) = (6.0 * scale, 10.0 * scale, 4.0 * scale);
    let text = format!(
        r#"
        node = "n-0"
        area = "za"
        bind = "127.0.0.1:1"
        peer_bind = "127.0.0.1:2"
        [outside]
        cloud = "127.0.0.1:3"
        state = "127.0.0.1:4"
        [params]
        zones = ["za", "zb"]
        [[params.teams]]
        name = "red"
        cpus = {red:?}
        cpus_max = {max:?}
        [[params.teams]]
        name = "blue"
        cpus = {blue:?}
        cpus_max = {:?}
        [params.workers]
        report_s = 1.0
        lease_s = 20.0
        cancel_s = 40.0
        [params.state]
        rps = 100.0
        write_rps = 100.0
        value_kb = 1.0
        txn_ops = 4
        [params.cloud]
        rps = 10.0
        list_lag_s = 2.0
    "#,
        40.0 * scale
    );
    Rc::new(Config::parse(&text).expect("valid settings"))
}
