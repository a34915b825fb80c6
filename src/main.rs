//! The program: command line, logging, and the service.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use sorrelhinge::cli::Command;
use sorrelhinge::config::{Config, ConfigError};
use sorrelhinge::operator_file::OperatorFileError;
use sorrelhinge::TopologyFile;
use tracing::level_filters::LevelFilter;

/// Exit code of a command or a controller that failed.
const EXIT_FAILED: u8 = 1;
/// Exit code for wrong arguments and files of a controller, as `clap` has it.
const EXIT_USAGE: u8 = 2;

/// A cluster scheduler controller.
#[derive(Parser)]
#[command(
    version,
    about,
    args_conflicts_with_subcommands = true,
    subcommand_negates_reqs = true
)]
struct Args {
    #[command(subcommand)]
    command: Option<Command>,
    /// The platform's settings (TOML).
    #[arg(long, required = true)]
    config: Option<PathBuf>,
    /// The operators' own settings (Java properties).
    #[arg(long)]
    properties: Option<PathBuf>,
    /// Failure domains and devices (TOML); read again at SIGHUP.
    #[arg(long)]
    topology: Option<PathBuf>,
    /// Windows for which capacity is held (TOML).
    #[arg(long)]
    calendar: Option<PathBuf>,
    /// Check the settings and end.
    #[arg(long)]
    check: bool,
}

fn log_level() -> LevelFilter {
    match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => LevelFilter::DEBUG,
        Ok("info") => LevelFilter::INFO,
        _ => LevelFilter::ERROR,
    }
}

/// Resolves when the process is asked to end.
async fn asked_to_end() {
    use tokio::signal::unix::{signal, SignalKind};
    match signal(SignalKind::terminate()) {
        Ok(mut terminate) => {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = tokio::signal::ctrl_c() => {}
            }
        }
        // Where signals can't be had the process runs until killed.
        Err(_) => std::future::pending().await,
    }
}

fn main() -> ExitCode {
    let args = Args::parse();
    tracing_subscriber::fmt()
        .with_max_level(log_level())
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .with_target(false)
        .init();
    match (args.command, args.config) {
        (Some(command), _) => operate(command),
        (None, Some(config)) => {
            let files = Files {
                config,
                properties: args.properties,
                topology: args.topology,
                calendar: args.calendar,
            };
            control(&files, args.check)
        }
        (None, None) => fail("--config or a command is needed", EXIT_USAGE),
    }
}

/// Says on standard error why the program ends.
fn fail(why: impl std::fmt::Display, code: u8) -> ExitCode {
    eprintln!("sorrelhinge: {why}");
    ExitCode::from(code)
}

fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}

/// Carries out an operator's command.
fn operate(command: Command) -> ExitCode {
    let runtime = match runtime() {
        Ok(runtime) => runtime,
        Err(error) => return fail(error, EXIT_FAILED),
    };
    let tasks = tokio::task::LocalSet::new();
    match tasks.block_on(&runtime, sorrelhinge::cli::run(command)) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => fail(error, EXIT_FAILED),
    }
}

/// The files that a controller is started with.
struct Files {
    config: PathBuf,
    properties: Option<PathBuf>,
    topology: Option<PathBuf>,
    calendar: Option<PathBuf>,
}

/// What was in them.
struct Loaded {
    config: Config,
    topology: Option<TopologyFile>,
}

impl Files {
    /// Reads and checks all of them; the first that is wrong is the error.
    fn load(&self) -> Result<Loaded, FilesError> {
        let mut config = Config::load(&self.config, self.properties.as_deref())?;
        if let Some(file) = &self.calendar {
            config = config.with_calendar(file, sorrelhinge::control::unix_ms())?;
        }
        let topology = self.topology.as_deref().map(TopologyFile::load);
        Ok(Loaded {
            config,
            topology: topology.transpose()?,
        })
    }
}

/// What is wrong with the files.
#[derive(Debug, thiserror::Error)]
enum FilesError {
    #[error(transparent)]
    Settings(#[from] ConfigError),
    #[error(transparent)]
    Topology(#[from] OperatorFileError),
}

/// Runs a controller, or only checks its files.
fn control(files: &Files, check: bool) -> ExitCode {
    let Loaded { config, topology } = match files.load() {
        Ok(loaded) => loaded,
        Err(error) => return fail(error, EXIT_USAGE),
    };
    if check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    let served = runtime()
        .and_then(|runtime| runtime.block_on(sorrelhinge::run(config, topology, asked_to_end())));
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(error, EXIT_FAILED),
    }
}
