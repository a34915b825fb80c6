//! The limits of the state service: those of now, and the smaller ones that it will have
//! from some moment on, without notice (settings, `state.next`).
//!
//! Values and transactions are made for the smaller ones from the start, so nothing has
//! to be known of the moment. The rate of changes is that of now until there is evidence
//! of the lower one, and then the lower one for good: either a 400 for something that only
//! the larger limits allow, or refusals (429) that go on. A refusal alone shows nothing:
//! all controllers' bursts may meet within a second, and the service's bucket, which
//! holds a second's worth, is full again a second later. While each controller stays
//! within its part of the present rate, the sum of the parts is below it, so refusals that
//! come again and again, seconds apart, show a lower one. Taking it for lower by mistake
//! costs a part of the changes, taking it for higher costs tries; neither breaks a rule.

use std::collections::VecDeque;

use sorrelhinge_protocol::types::Time;

/// Refusals within this time, in seconds, belong to one burst.
const BURST_S: f64 = 1.5;
/// So many bursts in a row that were refused are evidence of the lower rate.
const BURSTS: usize = 4;
/// If they all were within this time, in seconds.
const WITHIN_S: f64 = 15.0;

/// Which rate of changes is in force.
#[derive(Clone, Debug)]
pub struct ChangeRate {
    present: f64,
    next: Option<f64>,
    lowered: bool,
    refused: VecDeque<Time>,
}

impl ChangeRate {
    /// Changes a second now, and from some moment on; none: the same.
    pub fn new(present: f64, next: Option<f64>) -> Self {
        Self {
            present,
            next: next.filter(|next| *next < present),
            lowered: false,
            refused: VecDeque::new(),
        }
    }

    /// Changes a second that all controllers together may make.
    pub fn in_force(&self) -> f64 {
        match self.next {
            Some(next) if self.lowered => next,
            _ => self.present,
        }
    }

    /// Whether the lower limits are taken to be in force, of whatever.
    pub fn is_lowered(&self) -> bool {
        self.lowered
    }

    /// The lower limits are in force: seen here, or announced by another controller. Returns
    /// whether that is new.
    pub fn lower(&mut self) -> bool {
        !std::mem::replace(&mut self.lowered, true)
    }

    /// The service refused a change as too many. Returns whether that is what shows the
    /// lower rate.
    pub fn refused(&mut self, now: Time) -> bool {
        if self
            .refused
            .back()
            .is_some_and(|last| now.since(*last) < BURST_S)
        {
            return false;
        }
        self.refused.push_back(now);
        if self.refused.len() > BURSTS {
            self.refused.pop_front();
        }
        let first = self.refused.front().copied().unwrap_or(now);
        let goes_on = self.refused.len() == BURSTS && now.since(first) <= WITHIN_S;
        goes_on && self.next.is_some() && self.lower()
    }
}
