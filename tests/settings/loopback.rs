//! Settings of a controller that runs in the test's process, against stand-ins on
//! loopback. The test's root names the builder's module `controller`.

use sorrelhinge_emulators::place::Place;

use super::controller::{Addresses, CloudLimits, ControllerSettings, StateLimits, WorkerTimes};

/// The only controller of a place, with short times and large limits on requests.
pub(crate) fn only_controller(place: &Place, value_kb: f64, txn_ops: usize) -> ControllerSettings {
    let addresses = Addresses {
        users: place.users(0),
        peers: place.peers(0),
        cloud: place.cloud(),
        state: place.state(),
    };
    ControllerSettings {
        addresses,
        workers: WorkerTimes {
            report_s: 0.5,
            lease_s: 3.0,
            cancel_s: 12.0,
        },
        state: StateLimits {
            rps: 500.0,
            write_rps: 300.0,
            value_kb,
            txn_ops,
        },
        cloud: CloudLimits {
            rps: 50.0,
            list_lag_s: 0.2,
        },
        ..ControllerSettings::small("c-0")
    }
}
