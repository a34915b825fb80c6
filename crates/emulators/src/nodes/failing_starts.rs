//! Starts whose tasks end with an error as soon as they run.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::Nodes;

/// Share of the starts that fail, and how they are drawn.
#[derive(Debug, Default)]
pub(super) struct FailingStarts {
    share: f64,
    rng: Option<StdRng>,
}

impl FailingStarts {
    /// Draws whether the next start fails.
    pub(super) fn draw(&mut self) -> bool {
        let share = self.share;
        self.rng.as_mut().is_some_and(|rng| rng.random_bool(share))
    }
}

impl Nodes {
    /// That share of the starts fails from now on.
    pub fn fail_starts(&mut self, share: f64, seed: u64) {
        let rng = Some(StdRng::seed_from_u64(seed));
        self.failing_starts = FailingStarts { share, rng };
    }
}
