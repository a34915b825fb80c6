//! A hash of everything that was decided, for golden files.

/// Folds texts into 64 bits by FNV-1a, which is the same on every machine and in every
/// version of the compiler.
#[derive(Clone, Copy)]
pub(crate) struct Trace(u64);

impl Default for Trace {
    fn default() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }
}

impl Trace {
    /// Folds a text; a byte that no text has ends it.
    pub(crate) fn fold(&mut self, text: &str) {
        for byte in text.bytes().chain([0xff]) {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
        }
    }

    /// The hash.
    pub(crate) fn hash(self) -> u64 {
        self.0
    }
}
