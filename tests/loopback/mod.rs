//! Worlds of real controllers on loopback, which many tests begin with.

use sorrelhinge_emulators::Plan;

/// The program, and a folder for files and logs.
pub(crate) const AT: (&str, &str) = (
    env!("CARGO_BIN_EXE_sorrelhinge"),
    env!("CARGO_TARGET_TMPDIR"),
);

/// Three controllers, and so many machines behind one switch in each of three zones.
/// Each world has a name and a network of its own.
pub(crate) fn plan(name: &str, net: u8, machines: u8) -> Plan {
    Plan::plain(name, net, machines, AT)
}
