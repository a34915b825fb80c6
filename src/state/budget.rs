//! This controller's share of what all controllers together may ask of a service, as a
//! token bucket. The level can be negative: the most urgent requests are taken all the same,
//! and the others wait until it is made up for.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::{sleep, Instant};

/// The part of the bucket above which it counts as spare.
const SPARE_PART: f64 = 0.6;
/// The level is a sum of many parts; it may be so much off.
const ROUNDING: f64 = 1e-9;
/// Whoever waits for the bucket looks again no sooner.
const LEAST_PAUSE: Duration = Duration::from_millis(2);

/// This controller's share of what all may ask of a service: a bucket that
/// refills steadily up to one second's worth, or a least burst.
pub struct Budget {
    rate: Cell<f64>,
    least_burst: Cell<f64>,
    level: Cell<f64>,
    filled: Cell<Instant>,
}

impl Budget {
    /// `rate` per second.
    pub fn new(rate: f64) -> Self {
        Self {
            rate: Cell::new(rate),
            least_burst: Cell::new(1.0),
            level: Cell::new(rate),
            filled: Cell::new(Instant::now()),
        }
    }

    /// Changes the rate, and how much may be asked at once even if that is
    /// more than a second's worth.
    pub fn set_rate(&self, rate: f64, least_burst: f64) {
        self.refill();
        self.rate.set(rate);
        self.least_burst.set(least_burst.max(1.0));
    }

    fn burst(&self) -> f64 {
        self.rate.get().max(self.least_burst.get())
    }

    /// What it gives a second.
    pub fn rate(&self) -> f64 {
        self.rate.get()
    }

    /// The service says that all together ask too much.
    pub fn drain(&self) {
        self.refill();
        self.level.set(self.level.get().min(0.0));
    }

    fn refill(&self) {
        let now = Instant::now();
        let gained = now.duration_since(self.filled.get()).as_secs_f64() * self.rate.get();
        self.filled.set(now);
        self.level
            .set((self.level.get() + gained).min(self.burst()));
    }

    /// Whether the bucket is filled well enough that some of it counts as spare.
    pub fn spare(&self) -> bool {
        self.refill();
        self.level.get() >= SPARE_PART * self.burst()
    }

    /// Takes `n` at once, even beyond what is there: for the most urgent requests.
    pub fn force(&self, n: f64) {
        self.refill();
        self.level.set(self.level.get() - n);
    }

    /// Takes `n` if there is enough.
    ///
    /// # Errors
    ///
    /// For how long to wait until there would be enough.
    pub fn take(&self, n: f64) -> Result<(), Duration> {
        self.refill();
        // More than fits is allowed on a full bucket.
        let needed = n.min(self.burst());
        if self.level.get() + ROUNDING >= needed {
            self.level.set(self.level.get() - n);
            Ok(())
        } else {
            Err(Duration::from_secs_f64(
                (needed - self.level.get()) / self.rate.get(),
            ))
        }
    }

    /// Takes `n`, waiting at most `patience` for it.
    pub async fn wait(&self, n: f64, patience: Duration) -> bool {
        let end = Instant::now() + patience;
        loop {
            match self.take(n) {
                Ok(()) => return true,
                Err(pause) if Instant::now() + pause <= end => {
                    sleep(pause.max(LEAST_PAUSE)).await;
                }
                Err(_) => return false,
            }
        }
    }
}

/// How urgent a request is, when the budget is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPriority {
    /// Renewals and claims: goes at once and leaves the others the rest.
    First,
    /// Waits for the budget, this long at most.
    Within(Duration),
}
