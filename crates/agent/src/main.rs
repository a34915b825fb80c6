//! The program: the agent, the supervisors that it starts, and a look at it.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use sorrelhinge_agent::agent::Agent;
use sorrelhinge_agent::checksums::Checksums;
use sorrelhinge_agent::describe::{Description, DescriptionError};
use sorrelhinge_agent::settings::Settings;
use sorrelhinge_agent::supervise;
use tracing::level_filters::LevelFilter;

/// The worker of a machine: runs tasks and reports them.
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
    /// The agent's settings (TOML).
    #[arg(long, required = true)]
    config: Option<PathBuf>,
    /// Check the settings and end.
    #[arg(long)]
    check: bool,
}

#[derive(Subcommand)]
enum Command {
    /// What runs on this machine.
    Status {
        /// The agent's settings (TOML).
        #[arg(long)]
        config: PathBuf,
    },
    /// Check a job description.
    Describe {
        /// The file.
        file: PathBuf,
    },
    /// Print the JSON Schema of job descriptions.
    Schema,
    /// Print the sums of an image's chunks: the file NAME.sums that is put
    /// beside the archive, so that agents hand it on while it comes.
    Checksums {
        /// The archive.
        file: PathBuf,
        /// Bytes of a chunk.
        #[arg(long, default_value_t = sorrelhinge_agent::checksums::DEFAULT_CHUNK_BYTES)]
        chunk: u64,
    },
    /// Run one attempt to its end. The agent starts this.
    #[command(hide = true)]
    Supervise {
        /// The attempt's folder.
        folder: PathBuf,
    },
    /// Become a task. The supervisor starts this.
    #[command(hide = true)]
    Become {
        /// The attempt's folder.
        folder: PathBuf,
    },
}

/// Says why it failed, and with which code it ends.
fn fail(why: impl std::fmt::Display, code: u8) -> ExitCode {
    eprintln!("sorrelhinge-agent: {why}");
    ExitCode::from(code)
}

/// Logs to standard error, from the level that `LOG_LEVEL` names on.
fn log() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => LevelFilter::DEBUG,
        Ok("error") => LevelFilter::ERROR,
        _ => LevelFilter::INFO,
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .with_target(false)
        .init();
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
        Err(_) => std::future::pending().await,
    }
}

/// Runs a routine on a runtime of this thread.
fn local<T>(routine: impl std::future::Future<Output = T>) -> std::io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    Ok(tokio::task::LocalSet::new().block_on(&runtime, routine))
}

/// Runs the agent until it is asked to end.
fn run(settings: Settings) -> ExitCode {
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(error) => return fail(error, 1),
    };
    let served = local(async {
        let agent = Agent::open(settings, program)?;
        agent.run(asked_to_end()).await
    });
    match served {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) => fail(error, 1),
        Err(error) => fail(error, 1),
    }
}

/// Why a file is no job description.
#[derive(Debug, thiserror::Error)]
enum DescribeError {
    #[error(transparent)]
    Unreadable(#[from] std::io::Error),
    #[error(transparent)]
    Invalid(#[from] DescriptionError),
}

fn read_description(file: &Path) -> Result<Description, DescribeError> {
    Ok(Description::read(&std::fs::read(file)?)?)
}

/// Checks a job description.
fn describe(file: &Path) -> ExitCode {
    match read_description(file) {
        Ok(_) => {
            println!("{}: valid", file.display());
            ExitCode::SUCCESS
        }
        Err(why) => fail(format!("{}: {why}", file.display()), 2),
    }
}

/// Prints the sums of an archive's chunks, each of so many bytes.
fn print_checksums(file: &Path, chunk: u64) -> ExitCode {
    match File::open(file).and_then(|archive| Checksums::of(archive, chunk)) {
        Ok(checksums) => {
            println!("{}", checksums.text());
            ExitCode::SUCCESS
        }
        Err(why) => fail(format!("{}: {why}", file.display()), 1),
    }
}

/// Prints what runs on this machine.
fn print_status(config: &Path) -> ExitCode {
    let settings = match Settings::load(config) {
        Ok(settings) => settings,
        Err(why) => return fail(why, 2),
    };
    match local(sorrelhinge_agent::agent::status(settings.listen)) {
        Ok(Ok(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Ok(Err(why)) => fail(why, 1),
        Err(error) => fail(error, 1),
    }
}

/// Runs the agent, or only checks its settings.
fn serve(config: &Path, check: bool) -> ExitCode {
    match Settings::load(config) {
        Err(why) => fail(why, 2),
        Ok(_) if check => {
            println!("settings are valid");
            ExitCode::SUCCESS
        }
        Ok(settings) => {
            log();
            run(settings)
        }
    }
}

fn main() -> ExitCode {
    let args = Args::parse();
    match (args.command, args.config) {
        (Some(Command::Supervise { folder }), _) => match supervise::supervise(folder) {
            Ok(()) => ExitCode::SUCCESS,
            Err(why) => fail(why, 3),
        },
        (Some(Command::Become { folder }), _) => fail(supervise::become_task(folder), 127),
        (Some(Command::Schema), _) => {
            print!("{}", Description::schema());
            ExitCode::SUCCESS
        }
        (Some(Command::Checksums { file, chunk }), _) => print_checksums(&file, chunk),
        (Some(Command::Describe { file }), _) => describe(&file),
        (Some(Command::Status { config }), _) => print_status(&config),
        (None, Some(config)) => serve(&config, args.check),
        (None, None) => fail("--config or a command is needed", 2),
    }
}
