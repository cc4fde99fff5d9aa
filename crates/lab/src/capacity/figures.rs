//! The arithmetic behind the figures: percentiles and straight lines.

use serde::Serialize;

/// Parts of a thousand that percentiles are given in.
const PER_MILLE: usize = 1_000;

/// The value that `per_thousand` of all values do not exceed (nearest rank);
/// none without values.
pub fn quantile(values: &[u64], per_thousand: usize) -> Option<u64> {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let rank = (sorted.len() * per_thousand).div_ceil(PER_MILLE);
    sorted.get(rank.saturating_sub(1)).copied()
}

/// Middle and tail of a measured time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Spread {
    /// How many values.
    pub count: usize,
    /// Half of them are at most this.
    pub p50: Option<u64>,
    /// 99 of 100 are at most this.
    pub p99: Option<u64>,
    /// The largest.
    pub max: Option<u64>,
}

impl Spread {
    /// The spread of these values.
    pub fn of(values: &[u64]) -> Self {
        Self {
            count: values.len(),
            p50: quantile(values, 500),
            p99: quantile(values, 990),
            max: quantile(values, PER_MILLE),
        }
    }
}

/// A straight line through measured points.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Line {
    /// Its value at zero.
    pub intercept: f64,
    /// What one more costs.
    pub slope: f64,
    /// Part of the variance it explains, 0 to 1.
    pub fit: f64,
}

impl Line {
    /// The line of least squares; none for fewer than two different places.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum = |term: fn(f64, f64) -> f64| -> f64 {
            let deviations = points.iter().map(|(x, y)| (x - mean_x, y - mean_y));
            deviations.map(|(x, y)| term(x, y)).sum()
        };
        let (xx, xy, yy) = (sum(|x, _| x * x), sum(|x, y| x * y), sum(|_, y| y * y));
        if points.len() < 2 || xx == 0.0 {
            return None;
        }
        let slope = xy / xx;
        let fit = if yy == 0.0 { 1.0 } else { xy * xy / (xx * yy) };
        Some(Self {
            intercept: mean_y - slope * mean_x,
            slope,
            fit,
        })
    }

    /// Its value at a place, measured or not.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
