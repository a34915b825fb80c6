//! The program: command line, logging, and the service.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use tracing::level_filters::LevelFilter;

/// A cluster scheduler controller.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// The platform's settings (TOML).
    #[arg(long)]
    config: PathBuf,
    /// The operators' own settings (Java properties).
    #[arg(long)]
    properties: Option<PathBuf>,
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
    let config = match sorrelhinge::config::Config::load(&args.config, args.properties.as_deref()) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("sorrelhinge: {error}");
            return ExitCode::from(2);
        }
    };
    if args.check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    let served = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .and_then(|runtime| runtime.block_on(sorrelhinge::run(config, asked_to_end())));
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sorrelhinge: {error}");
            ExitCode::FAILURE
        }
    }
}
