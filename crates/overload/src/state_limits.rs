//! Tracks the limits of the state service. The service has its present limits until an unknown
//! time, and then smaller ones without notice (settings, `state.next`).
//!
//! Values and transactions respect the smaller limits from the start, so the time of the change
//! does not matter for them. The write rate keeps the present limit until there is evidence of the
//! lower one, and then stays at the lower limit. The evidence is either a 400 for a request that
//! only the larger limits allow, or repeated refusals (429).
//!
//! A single refusal proves nothing. The bursts of all controllers may coincide within a second, and
//! the token bucket of the service, which holds the writes of one second, is full again a second
//! later. While each controller stays within its share of the present rate, the sum of the shares
//! is below the rate. Repeated refusals that are seconds apart therefore show a lower rate. A limit
//! that is assumed too low costs part of the writes, and one that is assumed too high costs
//! retries. Neither error breaks a rule.

use std::collections::VecDeque;

use sorrelhinge_protocol::types::Time;

/// Time between two refused writes below which both belong to one burst, in seconds.
const BURST_S: f64 = 1.5;
/// Number of refused bursts in a row that are evidence of the lower write rate.
const MIN_REFUSED_BURSTS: usize = 4;
/// Maximum time between the first and the last refused burst that are evidence of the lower write
/// rate, in seconds.
const REFUSED_BURSTS_WINDOW_S: f64 = 15.0;

/// Write rate of the state service that is in force, in writes per second.
#[derive(Clone, Debug)]
pub struct ChangeRate {
    present: f64,
    next: Option<f64>,
    lowered: bool,
    refused_bursts: VecDeque<Time>,
}

impl ChangeRate {
    /// Creates the rate from the present limit and the `next` one, in writes per second. `None`
    /// means that the limit stays.
    pub fn new(present: f64, next: Option<f64>) -> Self {
        Self {
            present,
            next: next.filter(|next| *next < present),
            lowered: false,
            refused_bursts: VecDeque::new(),
        }
    }

    /// Returns the writes per second that all controllers together may make.
    pub fn in_force(&self) -> f64 {
        match self.next {
            Some(next) if self.lowered => next,
            _ => self.present,
        }
    }

    /// Returns whether the lower limits count as in force, for values, transactions and the write
    /// rate.
    pub fn is_lowered(&self) -> bool {
        self.lowered
    }

    /// Records that the lower limits are in force, as found here or announced by another
    /// controller. Returns whether that was unknown before.
    pub fn lower(&mut self) -> bool {
        !std::mem::replace(&mut self.lowered, true)
    }

    /// Records that the service refused a write because of the rate limit. Returns whether this
    /// refusal completes the evidence of the lower rate.
    pub fn refused(&mut self, now: Time) -> bool {
        if self
            .refused_bursts
            .back()
            .is_some_and(|last| now.since(*last) < BURST_S)
        {
            return false;
        }
        self.refused_bursts.push_back(now);
        if self.refused_bursts.len() > MIN_REFUSED_BURSTS {
            self.refused_bursts.pop_front();
        }
        let first = self.refused_bursts.front().copied().unwrap_or(now);
        let repeated = self.refused_bursts.len() == MIN_REFUSED_BURSTS
            && now.since(first) <= REFUSED_BURSTS_WINDOW_S;
        repeated && self.next.is_some() && self.lower()
    }
}
