//! Who was served over a run: reads the `served` and `largest` lines of the
//! controllers' logs.
//!
//!     cargo run --release --locked --example served -- LOG...
//!
//! Each file is a controller's log, or the logs of all together with the names of
//! those who speak before the level. Prints a line for each class and team, and one
//! for each class's largest jobs; exit code 1 if less than half of the jobs of any
//! class, of any team, of both together or of a class's largest was served, or one
//! of the largest waited for over four minutes until it began
//! (docs/operations.md), 2 if there is nothing to read.

use std::collections::BTreeMap;
use std::process::ExitCode;

use sorrelhinge_sharding::tally::{Part, Tally};

/// Less than this part is not served.
const LEAST: f64 = 0.5;

fn add(sums: &mut BTreeMap<String, Part>, name: String, part: Part) {
    let sum = sums.entry(name).or_insert(Part {
        done: 0,
        open: 0,
        waiting: 0,
    });
    sum.done += part.done;
    sum.open += part.open;
    sum.waiting += part.waiting;
}

fn main() -> ExitCode {
    let mut tally = Tally::default();
    let files: Vec<String> = std::env::args().skip(1).collect();
    for file in &files {
        match std::fs::read_to_string(file) {
            Ok(text) => text.lines().for_each(|line| tally.line(file, line)),
            Err(error) => {
                eprintln!("{file}: {error}");
                return ExitCode::from(2);
            }
        }
    }
    let mut sums = BTreeMap::new();
    for ((class, team), part) in tally.parts() {
        add(&mut sums, format!("class={class}"), part);
        add(&mut sums, format!("team={team}"), part);
        add(&mut sums, format!("class={class} team={team}"), part);
    }
    if sums.is_empty() {
        eprintln!("no served lines in {} files", files.len());
        return ExitCode::from(2);
    }
    let mut low = false;
    for (name, part) in sums {
        let fails = part.served() < LEAST;
        low |= fails;
        println!(
            "{} {:.3} {name} done={} open={} waiting={}",
            if fails { "FAIL" } else { "ok  " },
            part.served(),
            part.done,
            part.open,
            part.waiting
        );
    }
    for (class, part) in tally.largest() {
        let fails = part.served() < LEAST || part.late > 0;
        low |= fails;
        println!(
            "{} {:.3} class={class} largest={} begun={} late={} longest_s={:.1} unknown={}",
            if fails { "FAIL" } else { "ok  " },
            part.served(),
            part.jobs,
            part.begun,
            part.late,
            part.longest_s,
            part.unknown
        );
    }
    ExitCode::from(u8::from(low))
}
