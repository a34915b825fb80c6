//! Builds the text of a controller's settings, as `docs/operations.md` names the
//! fields, so that a test writes out only what it is about.

use std::fmt::Write;
use std::net::SocketAddr;

/// A team's share of the cluster, in CPUs.
pub(crate) struct Team {
    pub(crate) name: &'static str,
    /// What it gets before others may borrow.
    pub(crate) guarantee_cpus: f64,
    /// What it may use at the most.
    pub(crate) limit_cpus: f64,
}

/// Where a controller listens, and where it finds what is outside.
pub(crate) struct Addresses {
    /// Where it takes users' and workers' requests.
    pub(crate) users: SocketAddr,
    /// Where it takes the other controllers' messages.
    pub(crate) peers: SocketAddr,
    pub(crate) cloud: SocketAddr,
    pub(crate) state: SocketAddr,
}

impl Addresses {
    /// Addresses for settings that are only read: nobody listens there.
    fn unused() -> Self {
        let port = |number: u16| SocketAddr::from(([127, 0, 0, 1], number));
        Self {
            users: port(1),
            peers: port(2),
            cloud: port(3),
            state: port(4),
        }
    }
}

/// The times that hold for workers, in seconds.
pub(crate) struct WorkerTimes {
    pub(crate) report_s: f64,
    pub(crate) lease_s: f64,
    pub(crate) cancel_s: f64,
}

/// What the state service allows.
pub(crate) struct StateLimits {
    /// Requests a second.
    pub(crate) rps: f64,
    /// Writing requests a second.
    pub(crate) write_rps: f64,
    /// KiB of a value.
    pub(crate) value_kb: f64,
    /// Changes of a transaction.
    pub(crate) txn_ops: usize,
}

/// What the cloud allows.
pub(crate) struct CloudLimits {
    /// Requests a second.
    pub(crate) rps: f64,
    /// Seconds by which its lists may lag.
    pub(crate) list_lag_s: f64,
}

/// A controller's settings.
pub(crate) struct ControllerSettings {
    pub(crate) node: &'static str,
    pub(crate) addresses: Addresses,
    pub(crate) zones: &'static [&'static str],
    pub(crate) teams: Vec<Team>,
    pub(crate) workers: WorkerTimes,
    pub(crate) state: StateLimits,
    pub(crate) cloud: CloudLimits,
    /// More lines before the first table.
    pub(crate) more: &'static str,
    /// More tables under `params`, after the teams.
    pub(crate) more_params: &'static str,
}

impl ControllerSettings {
    /// Settings of a small world, which are only read: one zone, and no teams.
    pub(crate) fn small(node: &'static str) -> Self {
        Self {
            node,
            addresses: Addresses::unused(),
            zones: &["za"],
            teams: Vec::new(),
            workers: WorkerTimes {
                report_s: 1.0,
                lease_s: 20.0,
                cancel_s: 40.0,
            },
            state: StateLimits {
                rps: 100.0,
                write_rps: 100.0,
                value_kb: 1.0,
                txn_ops: 4,
            },
            cloud: CloudLimits {
                rps: 10.0,
                list_lag_s: 2.0,
            },
            more: "",
            more_params: "",
        }
    }

    /// The settings as a file has them.
    pub(crate) fn text(&self) -> String {
        let mut text = self.addresses_text();
        let _ = writeln!(text, "[params]\nzones = {:?}", self.zones);
        for team in &self.teams {
            let _ = writeln!(
                text,
                "[[params.teams]]\nname = {:?}\ncpus = {:?}\ncpus_max = {:?}",
                team.name, team.guarantee_cpus, team.limit_cpus
            );
        }
        text += self.more_params;
        text += &self.limits_text();
        text
    }

    /// Who the controller is, and all addresses.
    fn addresses_text(&self) -> String {
        let Addresses {
            users,
            peers,
            cloud,
            state,
        } = &self.addresses;
        format!(
            "node = {:?}\narea = \"za\"\nbind = \"{users}\"\npeer_bind = \"{peers}\"\n{}\
             [outside]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n",
            self.node, self.more
        )
    }

    /// What holds for workers, the state service and the cloud.
    fn limits_text(&self) -> String {
        let WorkerTimes {
            report_s,
            lease_s,
            cancel_s,
        } = self.workers;
        let StateLimits {
            rps,
            write_rps,
            value_kb,
            txn_ops,
        } = self.state;
        let CloudLimits {
            rps: cloud_rps,
            list_lag_s,
        } = self.cloud;
        format!(
            "[params.workers]\nreport_s = {report_s:?}\nlease_s = {lease_s:?}\ncancel_s = {cancel_s:?}\n\
             [params.state]\nrps = {rps:?}\nwrite_rps = {write_rps:?}\nvalue_kb = {value_kb:?}\n\
             txn_ops = {txn_ops}\n\
             [params.cloud]\nrps = {cloud_rps:?}\nlist_lag_s = {list_lag_s:?}\n"
        )
    }
}
