//! Fair shares by the paper's water-filling algorithm, and the sort key of the team order.

/// The sort key of a team in the scheduling order. Teams below their guarantee come first.
/// Others are sorted by their distance below the fair share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Distance below the guarantee as a fraction of the guarantee, or 0 if not below.
    pub below_guarantee: f64,
    /// Distance below the water-filled fair share as a fraction of the total capacity,
    /// negative above the fair share.
    pub below_fair: f64,
}

/// Amounts that differ by less count as equal, because of rounding errors.
const ROUNDING: f64 = 1e-12;

/// Returns the paper's allocation (section 3.1, appendix A), one share per entry of `minimum`
/// and `demand`. Demands below their minimum are met in full, and the others get their
/// minimum. The remaining capacity goes to the lowest shares first.
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
        // Raises all shares at the lowest level until they reach the next level above, one of
        // them meets its demand, or no capacity remains.
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
