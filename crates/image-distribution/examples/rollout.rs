//! Simulates how long it takes until the last of many machines has an image of 140 GB, in
//! virtual time. It compares three plans: `flat` (all machines fetch from the origin),
//! `tree` (machines upload whole images to others) and `ours` (machines upload parts while
//! more parts arrive, as [`plan::Rollout`] decides).
//!
//! All links have the same rate. A machine has one link in each direction, and the origin
//! has ten. The lower bound is one fetch at full rate. Decision times are measured in this
//! process, and all else is computed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Instant;

use clap::Parser;
use hdrhistogram::Histogram;
use sorrelhinge_image_distribution::plan::{Has, Limits, RecentImages, Rollout, Source, Uploads};
use sorrelhinge_protocol::types::{Image, MachineId};

/// Simulates the distribution of an image to many machines, in virtual time.
#[derive(Parser)]
struct Args {
    /// Print one line of JSON for each row.
    #[arg(long)]
    json: bool,
    /// Size of the image in GB.
    #[arg(long, default_value_t = 140.0)]
    gb: f64,
    /// Rate of every link in GB/s.
    #[arg(long, default_value_t = 0.5)]
    rate: f64,
    /// Size of a part in MB.
    #[arg(long, default_value_t = 16.0)]
    part_mb: f64,
    /// Seconds from a part's arrival until its first byte can be uploaded. The part is
    /// checked and requested in this time.
    #[arg(long, default_value_t = 0.005)]
    hop_s: f64,
    /// Seconds until a machine abandons a lost source.
    #[arg(long, default_value_t = 2.0)]
    detect_s: f64,
}

const ORIGIN_LINKS: usize = 10;
const ZONES: usize = 3;
const RACK: usize = 40;
/// Seconds that the write of a record takes.
const WRITE_S: f64 = 0.1;
/// Seconds between two rounds of the controller.
const TICK_S: f64 = 0.1;

/// Returns the time in seconds at which each machine is lost, or infinity for a machine
/// that stays.
fn losses(n: usize, part: f64, within: f64) -> Vec<f64> {
    let mut state = 0x9e37_79b9_7f4a_7c15_u64 ^ n as u64;
    let mut next_random = || {
        state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z >> 11) as f64 / (1_u64 << 53) as f64
    };
    let one = |_| {
        if next_random() < part {
            next_random() * within
        } else {
            f64::INFINITY
        }
    };
    (0..n).map(one).collect()
}

/// Result of the simulation of a plan.
struct Outcome {
    last_s: f64,
    copies: f64,
    done: Vec<f64>,
}

/// Faults of a plan, or errors that prevent its evaluation.
enum RolloutError {
    /// A machine that is never lost has no image at the end.
    WithoutImage(usize),
    /// A source uploads to more machines at once than it has links. `None` is the origin.
    TooManyAtOnce { source: Option<usize>, max: usize },
    /// The rollout has not written a record.
    NoRecord,
    /// The rollout's record has a version that this code does not read.
    OtherVersion,
    /// The histogram of times could not be created.
    Histogram(hdrhistogram::CreationError),
}

/// Formats the error as `main` prints it.
impl std::fmt::Debug for RolloutError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::WithoutImage(machine) => {
                write!(f, "machine vm-{machine:05} never gets the image")
            }
            Self::TooManyAtOnce { source, max } => {
                write!(
                    f,
                    "source {source:?} uploads to more than {max} machines at once"
                )
            }
            Self::NoRecord => write!(f, "rollout has not written a record"),
            Self::OtherVersion => write!(f, "rollout record has another version"),
            Self::Histogram(error) => write!(f, "{error}"),
        }
    }
}

impl From<hdrhistogram::CreationError> for RolloutError {
    fn from(error: hdrhistogram::CreationError) -> Self {
        Self::Histogram(error)
    }
}

/// Simulates a plan in which only whole images are transferred, from the origin and, if
/// `hand_on` is set, also from machines that have the image. A machine that loses its
/// source begins again.
fn complete(lost: &[f64], fetch_s: f64, hand_on: bool) -> Outcome {
    // Free sources are ordered by time. The links of the origin come first and are never
    // lost.
    let key = |t: f64, who: usize| Reverse((t.to_bits(), who));
    let mut free: BinaryHeap<_> = (0..ORIGIN_LINKS).map(|_| key(0.0, usize::MAX)).collect();
    let mut waiting: VecDeque<(usize, f64)> = (0..lost.len()).map(|m| (m, 0.0)).collect();
    let mut out = Outcome {
        last_s: 0.0,
        copies: 0.0,
        done: Vec::new(),
    };
    while let Some((m, from)) = waiting.pop_front() {
        let Reverse((at, who)) = free.pop().unwrap_or(key(0.0, usize::MAX));
        let begin = f64::from_bits(at).max(from);
        let source_lost = lost.get(who).copied().unwrap_or(f64::INFINITY);
        if lost[m] <= begin {
            free.push(key(f64::from_bits(at), who));
            continue;
        }
        if source_lost <= begin {
            waiting.push_front((m, from));
            continue;
        }
        let end = (begin + fetch_s).min(lost[m]).min(source_lost);
        if who == usize::MAX {
            out.copies += (end - begin) / fetch_s;
        }
        // With `hand_on`, the origin uploads only its first copies, and then machines
        // upload.
        if source_lost > end && (who != usize::MAX || !hand_on || lost[m] <= end) {
            free.push(key(end, who));
        }
        if lost[m] <= end {
            continue;
        }
        if source_lost <= end {
            waiting.push_back((m, end));
            continue;
        }
        out.last_s = out.last_s.max(end);
        out.done.push(end);
        if hand_on {
            free.push(key(end, m));
        }
    }
    out
}

/// Times that the rollout's decisions took, in ns.
struct Decisions {
    each: Histogram<u64>,
    resume_ns: u64,
}

fn timed<T>(times: &mut Histogram<u64>, decide: impl FnOnce() -> T) -> T {
    let begin = Instant::now();
    let result = decide();
    times.saturating_record(begin.elapsed().as_nanos() as u64);
    result
}

/// A machine that was started, with the time of its start and the sources that it named.
struct Started {
    machine: usize,
    at: f64,
    from: Vec<Source>,
}

/// Simulates the controller, which starts machines in the order and at the times that the
/// rollout decides.
struct Starts<'a> {
    lost: &'a [f64],
    times: &'a mut Histogram<u64>,
    rollout: Rollout,
    uploads: Uploads,
    /// Machines that are lost, ordered by the time of loss, the earliest one last.
    upcoming_losses: Vec<Loss>,
    /// Machines that have not been started yet.
    pending: VecDeque<usize>,
    started: Vec<Started>,
}

/// A machine that is lost, with the time of the loss.
struct Loss {
    at: f64,
    machine: usize,
}

impl<'a> Starts<'a> {
    fn new(lost: &'a [f64], times: &'a mut Histogram<u64>, limits: Limits) -> Self {
        let mut rollout = Rollout::new(Image::from("weights"), limits);
        for m in 0..lost.len() {
            rollout.join(id(m), &path(m), false);
        }
        let upcoming_losses = lost.iter().enumerate();
        let mut upcoming_losses: Vec<Loss> = upcoming_losses
            .map(|(machine, at)| Loss { at: *at, machine })
            .collect();
        upcoming_losses.sort_by(|a, b| b.at.total_cmp(&a.at));
        Self {
            lost,
            times,
            rollout,
            uploads: Uploads::default(),
            upcoming_losses,
            pending: (0..lost.len()).collect(),
            started: Vec::new(),
        }
    }

    /// Starts all machines that are not lost before their start.
    fn run(&mut self) {
        let mut now = 0.0;
        while !self.pending.is_empty() {
            self.lose(now);
            if let Some(record) = timed(self.times, || self.rollout.next(now)) {
                now += WRITE_S;
                self.rollout.written(record, now);
            }
            self.start(now);
            now += TICK_S;
        }
        // Later losses change no start, but the rollout still decides about them.
        self.lose(f64::MAX);
    }

    /// Reports all machines to the rollout that are lost up to the time `until`.
    fn lose(&mut self, until: f64) {
        while let Some(loss) = next_lost(&mut self.upcoming_losses, until) {
            let machine = id(loss.machine);
            timed(self.times, || {
                self.rollout.lost(&machine, &mut self.uploads);
            });
        }
    }

    /// Starts machines in their order, as far as the rollout allows.
    fn start(&mut self, now: f64) {
        while let Some(machine) = self.pending.front().copied() {
            if self.lost[machine] > now {
                let name = id(machine);
                let (rollout, uploads) = (&mut self.rollout, &mut self.uploads);
                if !timed(self.times, || rollout.may_start(&name, uploads, now)) {
                    return;
                }
                let from = timed(self.times, || rollout.assign(&name, uploads, now));
                self.started.push(Started {
                    machine,
                    at: now,
                    from,
                });
            }
            self.pending.pop_front();
        }
    }
}

/// Removes and returns the machine that is lost next, up to a time. The earliest loss is
/// the last element.
fn next_lost(upcoming_losses: &mut Vec<Loss>, until: f64) -> Option<Loss> {
    match upcoming_losses.last() {
        Some(loss) if loss.at <= until => upcoming_losses.pop(),
        _ => None,
    }
}

fn id(m: usize) -> MachineId {
    MachineId::from(&*format!("vm-{m:05}"))
}

fn path(m: usize) -> Vec<String> {
    let zone = m % ZONES;
    vec![format!("z{zone}"), format!("z{zone}-r{}", m / ZONES / RACK)]
}

/// Simulates the machines, part by part. A machine takes each part from its source once the
/// source has it, and moves to the next source in its list once the current one is lost.
struct Transfers<'a> {
    args: &'a Args,
    lost: &'a [f64],
    started: &'a [Started],
    /// Number of parts of the image.
    parts: usize,
    /// Time in seconds that one part takes at full rate.
    part_s: f64,
    /// Position of each machine among the started machines.
    order: BTreeMap<MachineId, usize>,
    /// Times at which a machine received each part, for machines that may still be a
    /// source.
    had: BTreeMap<usize, Vec<f64>>,
    /// Times during which each source uploaded. The key `None` is the origin.
    busy: BTreeMap<Option<usize>, Vec<Interval>>,
    outcome: Outcome,
}

/// Time interval in which a source uploaded, in seconds.
struct Interval {
    from: f64,
    to: f64,
}

impl<'a> Transfers<'a> {
    fn new(args: &'a Args, lost: &'a [f64], started: &'a [Started]) -> Self {
        let parts = (args.gb * 1000.0 / args.part_mb).ceil() as usize;
        let order = started.iter().enumerate();
        Self {
            args,
            lost,
            started,
            parts,
            part_s: args.gb / args.rate / parts as f64,
            order: order.map(|(i, s)| (id(s.machine), i)).collect(),
            had: BTreeMap::new(),
            busy: BTreeMap::new(),
            outcome: Outcome {
                last_s: 0.0,
                copies: 0.0,
                done: Vec::new(),
            },
        }
    }

    fn run(mut self) -> Result<Outcome, RolloutError> {
        let drop_at = self.last_uses();
        for (i, unused) in drop_at.iter().enumerate() {
            let arrived = self.fetch(&self.started[i])?;
            self.had.insert(i, arrived);
            for o in unused {
                self.had.remove(o);
            }
        }
        self.check_rates()?;
        Ok(self.outcome)
    }

    /// Returns, for each machine, the machines whose parts no later machine requests.
    fn last_uses(&self) -> Vec<Vec<usize>> {
        let mut last_use = vec![0; self.started.len()];
        for (i, start) in self.started.iter().enumerate() {
            for source in &start.from {
                if let Some(o) = number(&self.order, source) {
                    last_use[o] = i;
                }
            }
        }
        let mut drop_at: Vec<Vec<usize>> = vec![Vec::new(); self.started.len()];
        for (o, i) in last_use.iter().enumerate() {
            drop_at[(*i).max(o)].push(o);
        }
        drop_at
    }

    /// Simulates a machine's fetch and returns the time at which each part arrived.
    fn fetch(&mut self, start: &Started) -> Result<Vec<f64>, RolloutError> {
        let lost_at = self.lost[start.machine];
        let mut link = start.at;
        let mut arrived = Vec::with_capacity(self.parts);
        let mut at = 0;
        let mut since = link;
        let source_at = |at: usize| start.from.get(at);
        while arrived.len() < self.parts && link < lost_at {
            let source = source_at(at).and_then(|f| number(&self.order, f));
            let gone = source.map_or(f64::INFINITY, |o| self.lost[self.started[o].machine]);
            let end = self.part_end(source, arrived.len(), link);
            if end.min(lost_at) > gone {
                self.record_upload(source, since, gone);
                link = link.max(gone) + self.args.detect_s;
                since = link;
                at += 1;
                continue;
            }
            if source.is_none() {
                self.outcome.copies += 1.0 / self.parts as f64;
            }
            link = end;
            if end < lost_at {
                arrived.push(end);
            }
        }
        let source = source_at(at).and_then(|f| number(&self.order, f));
        self.record_upload(source, since, link.min(lost_at));
        if arrived.len() == self.parts {
            self.outcome.last_s = self.outcome.last_s.max(link);
            self.outcome.done.push(link);
        } else if lost_at.is_infinite() {
            return Err(RolloutError::WithoutImage(start.machine));
        }
        Ok(arrived)
    }

    /// Returns the time at which a part has arrived from a source, or infinity if the
    /// source never has the part.
    fn part_end(&self, source: Option<usize>, part: usize, link: f64) -> f64 {
        let has = match source {
            Some(o) => self.had.get(&o).and_then(|had| had.get(part)).copied(),
            None => Some(0.0),
        };
        has.map_or(f64::INFINITY, |has| {
            link.max(has + self.args.hop_s) + self.part_s
        })
    }

    fn record_upload(&mut self, source: Option<usize>, from: f64, to: f64) {
        let interval = Interval { from, to };
        self.busy.entry(source).or_default().push(interval);
    }

    /// Checks that no source uploaded to more machines at once than it has links, because
    /// the simulation assumes full rate.
    fn check_rates(&self) -> Result<(), RolloutError> {
        for (source, uses) in &self.busy {
            let max = if source.is_some() { 1 } else { ORIGIN_LINKS };
            if at_once(uses) > max {
                let source = *source;
                return Err(RolloutError::TooManyAtOnce { source, max });
            }
        }
        Ok(())
    }
}

/// Simulates the plan of [`Rollout`] and measures how long its decisions take.
fn ours(lost: &[f64], args: &Args, times: &mut Decisions) -> Result<Outcome, RolloutError> {
    let mut starts = Starts::new(lost, &mut times.each, Limits::default());
    starts.run();
    let Starts {
        rollout, started, ..
    } = starts;
    let outcome = Transfers::new(args, lost, &started).run()?;
    times.resume_ns = resumed(&started, &rollout, lost)?;
    Ok(outcome)
}

fn number(order: &BTreeMap<MachineId, usize>, source: &Source) -> Option<usize> {
    match source {
        Source::Origin => None,
        Source::Machine(m) => order.get(m).copied(),
    }
}

/// Returns the largest number of these intervals that overlap.
fn at_once(uses: &[Interval]) -> usize {
    let mut edges: Vec<(f64, i32)> = Vec::new();
    for Interval { from, to } in uses.iter().filter(|gave| gave.from < gave.to) {
        edges.push((*from, 1));
        edges.push((*to, -1));
    }
    edges.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    let sums = edges.iter().scan(0, |n, e| {
        *n += e.1;
        Some(*n)
    });
    sums.max().unwrap_or(0) as usize
}

/// Returns how long a new owner takes to resume the rollout, in ns.
fn resumed(started: &[Started], rollout: &Rollout, lost: &[f64]) -> Result<u64, RolloutError> {
    let mut record = rollout
        .next(f64::INFINITY)
        .or_else(|| rollout.record().cloned());
    let record = record.take().ok_or(RolloutError::NoRecord)?;
    // The machines are sorted by name, as the controller keeps them.
    let stay = started.iter().filter(|s| lost[s.machine].is_infinite());
    let stay: BTreeMap<_, _> = stay.map(|s| (id(s.machine), path(s.machine))).collect();
    let ran: Vec<RecentImages> = stay
        .iter()
        .map(|(m, path)| RecentImages {
            machine: m.clone(),
            path,
            has: Has::Part(0.5),
        })
        .collect();
    let begin = Instant::now();
    let next = Rollout::resume(
        &record,
        Limits::default(),
        ran,
        &mut Uploads::default(),
        0.0,
    );
    let ns = begin.elapsed().as_nanos() as u64;
    next.map(|_| ns).ok_or(RolloutError::OtherVersion)
}

/// A line of the printed table.
struct Row<'a> {
    plan: &'a str,
    machines: usize,
    /// Fraction of the machines that is lost.
    lost: f64,
    outcome: &'a Outcome,
    fetch_s: f64,
}

impl Row<'_> {
    fn print(&self, json: bool) -> Result<(), RolloutError> {
        let (plan, n, part) = (self.plan, self.machines, self.lost);
        let of_limit = self.outcome.last_s / self.fetch_s;
        let copies = (self.outcome.copies * 100.0).round() / 100.0;
        if json {
            println!(
                "{{\"plan\":\"{plan}\",\"machines\":{n},\"of_limit\":{of_limit:.3},\
                 \"origin_copies\":{copies},\"lost\":{part}}}"
            );
            return Ok(());
        }
        let mut done = Histogram::<u64>::new_with_max(1_000_000_000, 3)?;
        for t in &self.outcome.done {
            done.saturating_record((t * 1000.0) as u64);
        }
        let q = |q| done.value_at_quantile(q) as f64 / 1000.0;
        println!(
            "{plan:<5}{n:>7} machines, lost {part}: {of_limit:>8.3} of the limit, \
             {copies:>8} copies; done p50 {:.0} s, p99 {:.0} s, last {:.0} s",
            q(0.5),
            q(0.99),
            self.outcome.last_s
        );
        Ok(())
    }
}

impl Decisions {
    fn print(&self) {
        let us = |ns: u64| ns as f64 / 1000.0;
        println!(
            "     decisions: p50 {:.1} us, p99 {:.1} us, longest {:.0} us; resume {:.0} us",
            us(self.each.value_at_quantile(0.5)),
            us(self.each.value_at_quantile(0.99)),
            us(self.each.max()),
            us(self.resume_ns)
        );
    }
}

/// Compares the three plans for a number of machines, a fraction of which is lost.
fn compare(args: &Args, machines: usize, part: f64) -> Result<(), RolloutError> {
    let fetch_s = args.gb / args.rate;
    let lost = losses(machines, part, fetch_s);
    let each = Histogram::new_with_max(10_000_000_000, 3)?;
    let mut times = Decisions { each, resume_ns: 0 };
    let plans = [
        ("flat", complete(&lost, fetch_s, false)),
        ("tree", complete(&lost, fetch_s, true)),
        ("ours", ours(&lost, args, &mut times)?),
    ];
    for (plan, outcome) in &plans {
        let row = Row {
            plan,
            machines,
            lost: part,
            outcome,
            fetch_s,
        };
        row.print(args.json)?;
    }
    if !args.json {
        times.print();
    }
    Ok(())
}

fn main() -> Result<(), RolloutError> {
    let args = Args::parse();
    for part in [0.0, 0.1] {
        for machines in [10, 100, 1_000, 10_000] {
            compare(&args, machines, part)?;
        }
    }
    Ok(())
}
