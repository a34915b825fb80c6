//! Counts of the jobs that were served over a whole run, read from the `served` and
//! `largest` lines of all owners' logs (`docs/blocks.md`).
//!
//! Each owner counts anew from the jobs that it finds in the records, so the counts of
//! several owners can't simply be added up. A job that was accepted under one owner also
//! counts as accepted under the next owner, as long as the job has not ended. Only one
//! owner counts a job as done.

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap};

use crate::largest_jobs::{tenth, BEGIN_WITHIN_S};

/// Names of a class and its team.
pub type Name = (String, String);

/// Counts in one owner's last `served` line of a class and team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Count {
    accepted: u64,
    started: u64,
    done: u64,
    waiting: u64,
}

/// Outcome of the jobs of a class and team over the run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// Number of jobs that ended.
    pub done: u64,
    /// Number of jobs of which tasks were started, and that had not ended at the last line.
    pub open: u64,
    /// Number of jobs of which no task was started.
    pub waiting: u64,
}

impl Part {
    /// Returns the fraction of jobs that were served, which means that they ended or had
    /// tasks started.
    pub fn served(&self) -> f64 {
        let served = self.done + self.open;
        served as f64 / (served + self.waiting).max(1) as f64
    }
}

/// One of a class's largest jobs, as the log describes it.
#[derive(Clone, Debug, Default, PartialEq)]
struct LargeJob {
    class: String,
    cpus: f64,
    begun: bool,
    /// Seconds until the job began. `None` if this was not logged because an earlier owner
    /// placed the job.
    began_s: Option<f64>,
    late: bool,
    cancelled: bool,
    /// Number of the shard whose owner last logged the job.
    shard: String,
    /// Index of the period in which an owner last logged the job.
    period: usize,
}

/// A job that may be among its class's largest.
struct Candidate<'a> {
    job: &'a str,
    large: &'a LargeJob,
}

impl Candidate<'_> {
    /// Orders jobs by CPUs, the largest first, then by id.
    fn largest_first(&self, other: &Self) -> Ordering {
        let by_cpus = other.large.cpus.total_cmp(&self.large.cpus);
        by_cpus.then_with(|| self.job.cmp(other.job))
    }
}

/// Outcome of a class's largest jobs: the top tenth by the CPUs of all tasks, and at least
/// one job.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LargestPart {
    /// Number of jobs that are among the class's largest.
    pub jobs: u64,
    /// Number of the largest jobs of which tasks were placed.
    pub begun: u64,
    /// Number of the largest jobs that began after four minutes, or had waited longer than
    /// that when last logged.
    pub late: u64,
    /// The longest time until one of the largest jobs began, in seconds.
    pub longest_s: f64,
    /// Number of jobs that the other counts leave out. An owner logged them but ended
    /// before they began, and no later owner logged them.
    pub unknown: u64,
}

impl LargestPart {
    /// Returns the fraction of the largest jobs that began.
    pub fn served(&self) -> f64 {
        if self.jobs == 0 {
            return 1.0;
        }
        self.begun as f64 / self.jobs as f64
    }
}

/// Counts that were logged while one controller owned a shard.
#[derive(Debug)]
struct Period {
    shard: String,
    counts: BTreeMap<Name, Count>,
}

/// Collects the counts of a run from log lines.
#[derive(Debug, Default)]
pub struct Tally {
    /// The largest jobs of all classes, by job id.
    large: HashMap<String, LargeJob>,
    /// All periods in which a controller owned a shard, in the order of the log lines.
    periods: Vec<Period>,
    /// Index of the current period of each controller and shard.
    present: BTreeMap<String, usize>,
}

/// Returns the value of the field `key`, which stands in the line as `key=value`.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split_whitespace()
        .find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
}

impl Tally {
    /// Reads a line of a log, whatever precedes the message. `from` names the controller
    /// whose log it is, if the line itself does not name it.
    pub fn line(&mut self, from: &str, line: &str) {
        let begins = ["leader elected", "shard ownership acquired", "serving"];
        let message = |word: &str| line.split_whitespace().any(|w| w == word);
        // The word before the log level names the controller, unless that word is the time.
        let controller = line.split("INFO").next().unwrap_or_default();
        let controller = controller.split_whitespace().last();
        let controller = controller.filter(|s| s.parse::<f64>().is_err());
        let controller = controller.unwrap_or(from);
        if message("largest") {
            self.largest_line(controller, line);
        } else if message("served") {
            self.served(controller, line);
        } else if message("done") {
            // The owner that finishes a job may not have logged the job as one of the
            // largest.
            let large = field(line, "job").and_then(|job| self.large.get_mut(job));
            if let Some(large) = large {
                large.begun = true;
            }
        } else if begins.into_iter().any(message) {
            let shard = field(line, "shard");
            let ends = |key: &String| {
                shard.map_or_else(
                    || key.starts_with(&format!("{controller} ")),
                    |b| *key == format!("{controller} {b}"),
                )
            };
            self.present.retain(|key, _| !ends(key));
        }
    }

    /// Reads a `served` line with the counts of a class and team.
    fn served(&mut self, controller: &str, line: &str) {
        let text = |key: &str| field(line, key).map(str::to_owned);
        let number = |key: &str| field(line, key).and_then(|n| n.parse().ok());
        let Some((class, team)) = text("class").zip(text("team")) else {
            return;
        };
        let count = Count {
            accepted: number("accepted").unwrap_or(0),
            started: number("started").unwrap_or(0),
            done: number("done").unwrap_or(0),
            waiting: number("waiting").unwrap_or(0),
        };
        let at = self.period(controller, field(line, "shard").unwrap_or("0"));
        self.periods[at].counts.insert((class, team), count);
    }

    /// Returns the index of the current period of a controller and shard. Starts a new
    /// period if there is none.
    fn period(&mut self, controller: &str, shard: &str) -> usize {
        let present = self.present.entry(format!("{controller} {shard}"));
        *present.or_insert_with(|| {
            self.periods.push(Period {
                shard: shard.to_owned(),
                counts: BTreeMap::new(),
            });
            self.periods.len() - 1
        })
    }

    /// Reads a `largest` line about one of a class's largest jobs.
    fn largest_line(&mut self, controller: &str, line: &str) {
        let number = |key: &str| field(line, key).and_then(|n| n.parse::<f64>().ok());
        let Some((job, class)) = field(line, "job").zip(field(line, "class")) else {
            return;
        };
        let shard = field(line, "shard").unwrap_or("0");
        let period = self.period(controller, shard);
        let large = self.large.entry(job.to_owned()).or_default();
        large.class = class.to_owned();
        large.shard = shard.to_owned();
        large.period = period;
        large.cpus = number("cpus").unwrap_or(large.cpus);
        match field(line, "state") {
            Some("begun") => {
                large.begun = true;
                large.began_s = number("began_s").or(large.began_s);
            }
            Some("done") => large.begun = true,
            Some("late") => large.late = true,
            Some("cancelled") => large.cancelled = true,
            _ => {}
        }
    }

    /// Returns the outcome of each class's largest jobs. Cancelled jobs don't count.
    pub fn largest(&self) -> BTreeMap<String, LargestPart> {
        let mut all: BTreeMap<String, u64> = BTreeMap::new();
        for ((class, _), part) in self.parts() {
            *all.entry(class).or_default() += part.done + part.open + part.waiting;
        }
        let mut last: BTreeMap<&str, usize> = BTreeMap::new();
        for (at, period) in self.periods.iter().enumerate() {
            last.insert(&period.shard, at);
        }
        let mut classes: BTreeMap<&str, Vec<Candidate>> = BTreeMap::new();
        let mut parts: BTreeMap<String, LargestPart> = BTreeMap::new();
        for (job, large) in self.large.iter().filter(|(_, l)| !l.cancelled) {
            let part = parts.entry(large.class.clone()).or_default();
            let owner_ended = last.get(large.shard.as_str()) != Some(&large.period);
            // A job that was already logged as late stays late, whatever a later owner
            // logs.
            if !large.begun && !large.late && owner_ended {
                part.unknown += 1;
            } else {
                let candidate = Candidate { job, large };
                classes.entry(&large.class).or_default().push(candidate);
            }
        }
        for (class, mut jobs) in classes {
            jobs.sort_by(Candidate::largest_first);
            jobs.truncate(tenth(all.get(class).map_or(0, |n| *n as usize)));
            let part = parts.entry(class.to_owned()).or_default();
            for Candidate { large, .. } in jobs {
                part.jobs += 1;
                part.begun += u64::from(large.begun);
                let began_s = large.began_s.unwrap_or(0.0);
                part.late += u64::from(large.late || began_s > BEGIN_WITHIN_S);
                part.longest_s = part.longest_s.max(began_s);
            }
        }
        parts
    }

    /// Returns the outcome of the jobs of each class and team. Jobs that are done count for
    /// every owner; other jobs count only for each shard's last owner.
    pub fn parts(&self) -> BTreeMap<Name, Part> {
        let mut parts: BTreeMap<Name, Part> = BTreeMap::new();
        let mut last: BTreeMap<(&str, &Name), &Count> = BTreeMap::new();
        for Period { shard, counts } in &self.periods {
            for (name, count) in counts {
                let part = parts.entry(name.clone()).or_insert(Part {
                    done: 0,
                    open: 0,
                    waiting: 0,
                });
                part.done += count.done;
                last.insert((shard.as_str(), name), count);
            }
        }
        for ((_, name), count) in last {
            if let Some(part) = parts.get_mut(name) {
                part.open += count.started.saturating_sub(count.done);
                part.waiting += count.waiting;
            }
        }
        parts
    }
}
