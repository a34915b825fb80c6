//! Waiting times for fetches that take minutes. All times are in seconds, sizes in GB and
//! rates in GB/s.

use sorrelhinge_protocol::types::Image;

/// Shortest fetch that a rollout distributes, in seconds. Shorter fetches end before a
/// stage of a rollout would, so they go to the origin.
pub const MIN_STAGED_FETCH_S: f64 = 20.0;
/// Wait T1+T2 for a machine with the image, as a fraction of the fetch time. The value was
/// measured for images that are fetched in seconds.
const WAIT_SHARE: f64 = 0.05;
/// Maximum wait for fetches of up to `SHORT_FETCH_S`, in seconds. The value was measured;
/// objectives for the start of a job are 2 to 5 s.
const MAX_SHORT_WAIT_S: f64 = 5.0;
/// Longest fetch to which `MAX_SHORT_WAIT_S` applies, in seconds. Jobs whose image takes
/// longer can't meet a start objective of seconds in any case.
const SHORT_FETCH_S: f64 = 100.0;
/// Maximum wait for any fetch, in seconds, because a job has to begin within minutes.
const MAX_WAIT_S: f64 = 30.0;
/// Multiple of the time at full rate that a fetch may take. A fetch takes 1.4 times that
/// time in a rollout, twice that time if two machines share its source, and more if its
/// source is replaced during the fetch.
const ALLOWED_FACTOR: f64 = 3.0;
/// Additional seconds that a fetch may take, for the stages of a rollout and for sources
/// that don't answer.
const ALLOWED_EXTRA_S: f64 = 30.0;
/// Minimum fraction of a fetch that counts as remaining, which keeps the cost of abandoning
/// the fetch finite.
const MIN_LEFT_SHARE: f64 = 0.1;

/// Returns the time of a fetch at full rate. Rates below 1 MB/s, also invalid ones, count
/// as 1 MB/s.
pub fn fetch_s(gb: f64, gb_per_s: f64) -> f64 {
    gb.max(0.0) / gb_per_s.max(1e-3)
}

/// Returns whether a rollout distributes an image that takes `fetch_s` seconds to fetch.
pub fn staged(fetch_s: f64) -> bool {
    fetch_s >= MIN_STAGED_FETCH_S
}

/// Returns how long a job waits for a machine that has its image before it takes one
/// without (T1+T2, paper 4.3.1). The wait is 0.05 of the fetch time: up to 5 s for fetches
/// of up to 100 s, and up to 30 s for longer ones. A job that waits in vain loses 0.05 of a
/// fetch that is necessary anyway.
pub fn threshold_s(fetch_s: f64) -> f64 {
    let wait = WAIT_SHARE * fetch_s.max(0.0);
    if fetch_s <= SHORT_FETCH_S {
        wait.min(MAX_SHORT_WAIT_S)
    } else {
        wait.min(MAX_WAIT_S)
    }
}

/// Returns how long a machine may fetch an image before it counts as stuck.
pub fn fetch_allowance_s(gb: f64, gb_per_s: f64) -> f64 {
    ALLOWED_FACTOR * fetch_s(gb, gb_per_s) + ALLOWED_EXTRA_S
}

/// Returns the cost of abandoning a fetch, in seconds: the time spent on it for each second
/// that it still needs. `progress` ranges from 0 to 1. The cost is zero at the beginning of
/// a fetch, the fetch time halfway, and nine times that shortly before the end.
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
    /// Image that the cache holds.
    pub image: Image,
    /// Size of the cached image in GB.
    pub gb: f64,
    /// Whether a task on this machine runs on the image, or the service that uses the image
    /// still has replicas on it. Such an image is the version that serves while the next
    /// version is fetched.
    pub serves: bool,
    /// Whether this machine is fetching the image or uploading it to others.
    pub moves: bool,
}

/// Returns the images to evict from a cache of `capacity_gb` so that an image of `gb`
/// fits, or `None` if it can't fit. `cached` is ordered from the least recently used image,
/// and the eviction follows this order. Images that serve tasks, are being fetched or are
/// being uploaded stay. An upgrade that evicted the serving version could not be rolled
/// back, and a lost replica would need a fetch of minutes.
pub fn evictable(cached: &[Cached], gb: f64, capacity_gb: f64) -> Option<Vec<Image>> {
    let mut excess_gb = cached.iter().map(|c| c.gb).sum::<f64>() + gb - capacity_gb;
    let mut evicted = Vec::new();
    for c in cached.iter().filter(|c| !c.serves && !c.moves) {
        if excess_gb <= 0.0 {
            break;
        }
        excess_gb -= c.gb;
        evicted.push(c.image.clone());
    }
    (excess_gb <= 0.0).then_some(evicted)
}
