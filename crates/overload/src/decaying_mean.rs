//! Computes a mean of measurements in which older ones count less and less.

/// Exponentially decaying mean of measurements at irregular intervals. The mean starts at 0.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingMean {
    value: f64,
}

impl DecayingMean {
    /// Adds a measurement made `elapsed_s` seconds after the one before. After `time_constant_s`
    /// seconds an older measurement has a weight of 1/e.
    pub fn take(&mut self, measured: f64, elapsed_s: f64, time_constant_s: f64) {
        let weight = 1.0 - (-elapsed_s / time_constant_s).exp();
        self.value += (measured - self.value) * weight;
    }

    /// Returns the current mean, or 0 before the first measurement.
    pub fn value(self) -> f64 {
        self.value
    }
}
