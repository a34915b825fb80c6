//! Fair shares: the paper's water-filling, and a team's place in the order.

/// A team's place in the order: below its guarantee first, then by how far it
/// is below its fair share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Distance below the guarantee, as a share of it; 0 if not below.
    pub below_guarantee: f64,
    /// Distance below the water-filled fair share, as a share of everything.
    pub below_fair: f64,
}

/// Amounts that differ by less are the same but for rounding.
const ROUNDING: f64 = 1e-12;

/// The paper's allocation (section 3.1, appendix A): demands below their
/// minimum are met, the others get their minimum, and what is left is poured
/// into the emptiest first.
pub fn water_fill(capacity: f64, minimum: &[f64], demand: &[f64]) -> Vec<f64> {
    let mut share: Vec<f64> = minimum.iter().zip(demand).map(|(m, d)| m.min(*d)).collect();
    let total: f64 = share.iter().sum();
    if total >= capacity {
        let scale = if total > 0.0 { capacity / total } else { 0.0 };
        share.iter_mut().for_each(|s| *s *= scale);
        return share;
    }
    let mut left = capacity - total;
    loop {
        let open: Vec<usize> = (0..share.len())
            .filter(|&i| share[i] < demand[i] - ROUNDING)
            .collect();
        let Some(level) = open.iter().map(|&i| share[i]).min_by(f64::total_cmp) else {
            return share;
        };
        if left <= ROUNDING {
            return share;
        }
        // Raise all buckets at the lowest level to the next level above it,
        // the first full bucket, or as far as the water goes.
        let lowest: Vec<usize> = open
            .iter()
            .copied()
            .filter(|&i| share[i] <= level + ROUNDING)
            .collect();
        let next = open
            .iter()
            .map(|&i| share[i])
            .filter(|s| *s > level + ROUNDING)
            .chain(lowest.iter().map(|&i| demand[i]))
            .min_by(f64::total_cmp)
            .unwrap_or(level);
        let step = (next - level).min(left / lowest.len() as f64);
        for &i in &lowest {
            share[i] += step;
        }
        left -= step * lowest.len() as f64;
    }
}
