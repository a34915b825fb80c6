//! How long to wait when a fetch takes minutes. All times in seconds, sizes in
//! GB, rates in GB/s.

use sorrelhinge_protocol::types::Image;

/// Fetches of at least so long go by a rollout; shorter ones are over before a stage
/// would be, and go to the origin as before.
pub const MIN_STAGED_FETCH_S: f64 = 20.0;
/// T1+T2 as a part of the fetch's time, as measured for images of seconds.
const WAIT_SHARE: f64 = 0.05;
/// At most so long for fetches up to `SHORT_FETCH_S`, as measured: start objectives are 2 to 5 s.
const MAX_SHORT_WAIT_S: f64 = 5.0;
/// Images of longer fetches can't meet an objective of seconds in any case.
const SHORT_FETCH_S: f64 = 100.0;
/// At most so long for any: a job has to begin within minutes.
const MAX_WAIT_S: f64 = 30.0;
/// A fetch may take so many times its time at full rate: 1.4 times in a rollout,
/// twice with a source that two share, and a source that is replaced on the way.
const ALLOWED_FACTOR: f64 = 3.0;
/// And so many seconds more, for the stages and for sources that don't answer.
const ALLOWED_MORE_S: f64 = 30.0;
/// What is left of a fetch counts as at least this part: its cost stays finite.
const MIN_LEFT_SHARE: f64 = 0.1;

/// Time of a fetch at full rate. A rate that is no rate counts as 1 MB/s.
pub fn fetch_s(gb: f64, gb_per_s: f64) -> f64 {
    gb.max(0.0) / gb_per_s.max(1e-3)
}

/// Whether an image of this fetch time goes by a rollout.
pub fn staged(fetch_s: f64) -> bool {
    fetch_s >= MIN_STAGED_FETCH_S
}

/// T1+T2 (paper 4.3.1): for how long a job waits for a place with its image
/// before it takes one without. The same as before up to 100 s of fetch; beyond,
/// 0.05 of it up to 30 s: who waits in vain loses 0.05 of a fetch that has to be
/// made anyway.
pub fn threshold_s(fetch_s: f64) -> f64 {
    let wait = WAIT_SHARE * fetch_s.max(0.0);
    if fetch_s <= SHORT_FETCH_S {
        wait.min(MAX_SHORT_WAIT_S)
    } else {
        wait.min(MAX_WAIT_S)
    }
}

/// For how long a machine that fetches does not count as hanging.
pub fn fetch_allowance_s(gb: f64, gb_per_s: f64) -> f64 {
    ALLOWED_FACTOR * fetch_s(gb, gb_per_s) + ALLOWED_MORE_S
}

/// What it costs to give up a fetch, in seconds: those spent on it, for each
/// second that it still needs. `progress` from 0 to 1: nothing at its beginning,
/// a fetch's time half way, nine times that shortly before its end.
pub fn abandon_cost(progress: f64, fetch_s: f64) -> f64 {
    let done = if progress.is_nan() {
        0.0
    } else {
        progress.clamp(0.0, 1.0)
    };
    fetch_s.max(0.0) * done / (1.0 - done).max(MIN_LEFT_SHARE)
}

/// An image in a machine's cache.
#[derive(Clone, Debug, PartialEq)]
pub struct Cached {
    /// The image.
    pub image: Image,
    /// Its size in GB.
    pub gb: f64,
    /// A task here runs on it, or its service still has replicas on it: the
    /// version that serves while the next one is fetched.
    pub serves: bool,
    /// It is being fetched here, or handed on.
    pub moves: bool,
}

/// What leaves a cache of `free_capacity_gb` so that an image of `gb` fits, the least
/// recently used first (`cached` in that order); none if it can't fit. What serves,
/// is fetched or handed on stays: an upgrade that evicts the version that serves
/// leaves no way back, and a lost replica with a fetch of minutes.
pub fn evictable(cached: &[Cached], gb: f64, free_capacity_gb: f64) -> Option<Vec<Image>> {
    let mut over = cached.iter().map(|c| c.gb).sum::<f64>() + gb - free_capacity_gb;
    let mut leave = Vec::new();
    for c in cached.iter().filter(|c| !c.serves && !c.moves) {
        if over <= 0.0 {
            break;
        }
        over -= c.gb;
        leave.push(c.image.clone());
    }
    (over <= 0.0).then_some(leave)
}
