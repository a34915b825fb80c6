//! Token bucket that paces this controller's requests to a service. Its rate is this
//! controller's share of the rate that all controllers together may use. The level can be
//! negative: the most urgent requests always pass, and other requests wait until the bucket
//! has refilled.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::{sleep, Instant};

/// Fraction of the burst at or above which the level counts as spare.
const SPARE_FRACTION: f64 = 0.6;
/// Tolerance for rounding errors of the level, which is a sum of many terms.
const ROUNDING_TOLERANCE: f64 = 1e-9;
/// Minimum pause between two attempts of a waiting request.
const MIN_PAUSE: Duration = Duration::from_millis(2);

/// Token bucket of one service. The bucket refills steadily up to one second's worth of
/// tokens, or up to a minimum burst if that is more.
pub struct Budget {
    rate: Cell<f64>,
    min_burst: Cell<f64>,
    level: Cell<f64>,
    refilled_at: Cell<Instant>,
}

impl Budget {
    /// Returns a bucket that refills at `rate` tokens per second and holds one second's
    /// worth.
    pub fn new(rate: f64) -> Self {
        Self {
            rate: Cell::new(rate),
            min_burst: Cell::new(1.0),
            level: Cell::new(rate),
            refilled_at: Cell::new(Instant::now()),
        }
    }

    /// Sets the rate, in tokens per second, and the minimum burst: the number of tokens that
    /// may be taken at once even if one second's worth is less.
    pub fn set_rate(&self, rate: f64, min_burst: f64) {
        self.refill();
        self.rate.set(rate);
        self.min_burst.set(min_burst.max(1.0));
    }

    fn burst(&self) -> f64 {
        self.rate.get().max(self.min_burst.get())
    }

    /// Returns the rate in tokens per second.
    pub fn rate(&self) -> f64 {
        self.rate.get()
    }

    /// Empties the bucket. The client calls this when the service refuses a request because
    /// all controllers together send too many.
    pub fn empty(&self) {
        self.refill();
        self.level.set(self.level.get().min(0.0));
    }

    fn refill(&self) {
        let now = Instant::now();
        let gained = now.duration_since(self.refilled_at.get()).as_secs_f64() * self.rate.get();
        self.refilled_at.set(now);
        self.level
            .set((self.level.get() + gained).min(self.burst()));
    }

    /// Returns whether the bucket is full enough that some tokens count as spare.
    pub fn spare(&self) -> bool {
        self.refill();
        self.level.get() >= SPARE_FRACTION * self.burst()
    }

    /// Takes `n` tokens at once, even if the level becomes negative. Only the most urgent
    /// requests use this.
    pub fn force_take(&self, n: f64) {
        self.refill();
        self.level.set(self.level.get() - n);
    }

    /// Takes `n` tokens if the bucket holds enough.
    ///
    /// # Errors
    ///
    /// Returns the time until the bucket would hold enough.
    pub fn take(&self, n: f64) -> Result<(), Duration> {
        self.refill();
        // A full bucket allows a request for more tokens than it can hold.
        let needed = n.min(self.burst());
        if self.level.get() + ROUNDING_TOLERANCE >= needed {
            self.level.set(self.level.get() - n);
            Ok(())
        } else {
            Err(Duration::from_secs_f64(
                (needed - self.level.get()) / self.rate.get(),
            ))
        }
    }

    /// Takes `n` tokens, waiting at most `max_wait` for them. Returns whether it took them.
    pub async fn wait(&self, n: f64, max_wait: Duration) -> bool {
        let deadline = Instant::now() + max_wait;
        loop {
            match self.take(n) {
                Ok(()) => return true,
                Err(pause) if Instant::now() + pause <= deadline => {
                    sleep(pause.max(MIN_PAUSE)).await;
                }
                Err(_) => return false,
            }
        }
    }
}

/// Urgency of a request when the budget is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPriority {
    /// Renewals and claims have this priority. The request passes at once, and other requests
    /// share the remaining budget.
    First,
    /// The request waits for the budget, at most for this duration.
    Within(Duration),
}
