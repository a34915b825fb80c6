//! An average of measurements in which older ones count less and less.

/// An exponentially decaying mean of irregular measurements, from 0 at first.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingMean {
    value: f64,
}

impl DecayingMean {
    /// Takes in a measurement made `elapsed_s` seconds after the one before. After
    /// `time_constant_s` seconds an older value counts for 1/e.
    pub fn take(&mut self, measured: f64, elapsed_s: f64, time_constant_s: f64) {
        let part = 1.0 - (-elapsed_s / time_constant_s).exp();
        self.value += (measured - self.value) * part;
    }

    /// The mean.
    pub fn value(self) -> f64 {
        self.value
    }
}
