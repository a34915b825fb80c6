//! Real controllers as processes: their configuration, start, signals and end.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use tokio::time::sleep;

use crate::place::Place;
use crate::plan::Plan;
use crate::site::CREW_CPUS;
use crate::{CANCEL_S, HEARTBEAT_S, LEASE_S, ZONES};

/// Files that a controller has open besides its sockets: its own, and the
/// runtime's.
const FILES: usize = 24;
/// How often a controller that was asked to end is looked at.
const END_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A controller, whether or not its process runs.
pub(crate) struct Controller {
    pub(crate) name: String,
    /// What it runs from its next start on.
    pub(crate) program: PathBuf,
    /// Where it takes users' and workers' requests.
    pub(crate) users: SocketAddr,
    config: PathBuf,
    log: PathBuf,
    /// One that ends by itself fails whatever waits.
    process: RefCell<Option<Child>>,
}

/// The files that a controller is started with, beside its configuration.
pub(crate) struct Files<'a> {
    pub(crate) properties: &'a Path,
    pub(crate) topology: Option<&'a Path>,
    pub(crate) calendar: Option<&'a Path>,
}

impl Controller {
    /// Writes a controller's configuration; it is not started yet.
    pub(crate) fn prepare(plan: &Plan, place: &Place, number: usize) -> Self {
        let name = format!("c-{number}");
        let config = plan.folder.join(format!("{name}.toml"));
        std::fs::write(&config, config_text(plan, place, number)).expect("written");
        Self {
            program: plan.program.clone(),
            users: place.users(number),
            log: plan.folder.join(format!("{name}.log")),
            config,
            name,
            process: RefCell::new(None),
        }
    }

    /// Starts its process, with so many sockets at the most.
    pub(crate) fn start(&self, files: &Files<'_>, sockets: Option<usize>) {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let mut command = self.command(sockets);
        command.arg("--config").arg(&self.config);
        command.arg("--properties").arg(files.properties);
        if let Some(file) = files.topology {
            command.arg("--topology").arg(file);
        }
        if let Some(file) = files.calendar {
            command.arg("--calendar").arg(file);
        }
        let process = command
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        self.process.replace(Some(process));
    }

    /// The program, under a limit on files if sockets are limited.
    fn command(&self, sockets: Option<usize>) -> Command {
        let Some(sockets) = sockets else {
            return Command::new(&self.program);
        };
        let mut shell = Command::new("sh");
        let limit = format!("ulimit -n {} && exec \"$0\" \"$@\"", sockets + FILES);
        shell.arg("-c").arg(limit).arg(&self.program);
        shell
    }

    /// Sends a signal to its process, if it runs.
    pub(crate) fn signal(&self, signal: &str) {
        if let Some(process) = &*self.process.borrow() {
            let response = Command::new("kill")
                .args([signal, &process.id().to_string()])
                .status();
            assert!(response.expect("kill").success());
        }
    }

    /// Asks it to end, and waits until it has.
    pub(crate) async fn end(&self) {
        self.signal("-TERM");
        let process = self.process.borrow_mut().take();
        let mut process = process.expect("it runs");
        // The stand-ins that it still talks to run on this very thread.
        loop {
            if let Some(status) = process.try_wait().expect("its state") {
                assert!(status.success(), "{status}");
                return;
            }
            sleep(END_POLL_INTERVAL).await;
        }
    }

    /// Kills its process at once, if it runs.
    pub(crate) fn kill(&self) {
        if let Some(mut process) = self.process.borrow_mut().take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Fails the test if it ended by itself, with what it said last.
    pub(crate) fn assert_runs(&self) {
        let mut process = self.process.borrow_mut();
        let ended = process.as_mut().and_then(|p| p.try_wait().ok()?);
        if let Some(status) = ended {
            let log = self.log().unwrap_or_default();
            let last = log.lines().last().unwrap_or("nothing");
            panic!(
                "controller {} ended, {status}; it said last: {last}",
                self.name
            );
        }
    }

    /// What its log says; none if it was never started.
    pub(crate) fn log(&self) -> Option<String> {
        std::fs::read_to_string(&self.log).ok()
    }
}

/// A controller's configuration, as its settings are in PROTOCOL.
fn config_text(plan: &Plan, place: &Place, number: usize) -> String {
    let state = if plan.lines {
        place.state_line(number)
    } else {
        place.state_of(number)
    };
    let others = others_text(plan, place, number);
    let state_next = match plan.state_next {
        "" => String::new(),
        next => format!("[params.state.next]\n{next}\n"),
    };
    let sockets = plan.sockets.map_or(String::new(), |sockets| {
        format!("[params.machine_limits]\nmax_sockets = {sockets}\n")
    });
    format!(
        "node = \"c-{number}\"\narea = \"{}\"\nbind = \"{}\"\npeer_bind = \"{}\"\n{others}\
         [outside]\ncloud = \"{}\"\nstate = \"{state}\"\n\
         [params]\nzones = [\"za\", \"zb\", \"zc\"]\n\
         [[params.teams]]\nname = \"crew\"\ncpus = 200.0\ncpus_max = {CREW_CPUS:?}\n\
         [[params.teams]]\nname = \"guest\"\ncpus = 0.0\ncpus_max = 0.0\n\
         [params.workers]\nreport_s = {HEARTBEAT_S:?}\nlease_s = {LEASE_S:?}\ncancel_s = {CANCEL_S:?}\n\
         [params.state]\nrps = 500.0\nwrite_rps = 300.0\nvalue_kb = 8.0\ntxn_ops = 16\n{state_next}\
         [params.cloud]\nrps = 50.0\nlist_lag_s = 0.2\n{sockets}",
        zone_of(number),
        place.users(number),
        place.peers(number),
        place.cloud(),
    )
}

/// Where a controller finds the others: directly, or through lines that can be
/// cut.
fn others_text(plan: &Plan, place: &Place, number: usize) -> String {
    let others = (0..plan.controllers).filter(|other| *other != number);
    let texts = others.map(|other| {
        let address = if plan.lines {
            place.peer_line(number, other)
        } else {
            place.peers(other)
        };
        format!(
            "[[others]]\nnode = \"c-{other}\"\narea = \"{}\"\naddress = \"{address}\"\n",
            zone_of(other)
        )
    });
    texts.collect()
}

/// A controller's zone: they go round.
fn zone_of(controller: usize) -> &'static str {
    ZONES[controller % ZONES.len()]
}
