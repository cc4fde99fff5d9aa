//! Arithmetic of the capacity figures: percentiles and linear regression.

use serde::Serialize;

/// Denominator of the ranks that [`quantile`] takes.
const PER_MILLE: usize = 1_000;

/// Returns the smallest value that at least `per_thousand` thousandths of all values
/// do not exceed (nearest rank), or `None` without values.
pub fn quantile(values: &[u64], per_thousand: usize) -> Option<u64> {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let rank = (sorted.len() * per_thousand).div_ceil(PER_MILLE);
    sorted.get(rank.saturating_sub(1)).copied()
}

/// Median, 99th percentile and maximum of a set of values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Percentiles {
    /// Number of values.
    pub count: usize,
    /// Median; `None` without values.
    pub p50: Option<u64>,
    /// 99th percentile; `None` without values.
    pub p99: Option<u64>,
    /// Largest value; `None` without values.
    pub max: Option<u64>,
}

impl Percentiles {
    /// Computes the percentiles of these values.
    pub fn of(values: &[u64]) -> Self {
        Self {
            count: values.len(),
            p50: quantile(values, 500),
            p99: quantile(values, 990),
            max: quantile(values, PER_MILLE),
        }
    }
}

/// Straight line fitted to points by least squares.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct LinearFit {
    /// y at x = 0.
    pub intercept: f64,
    /// Increase of y for each unit of x.
    pub slope: f64,
    /// Coefficient of determination (R²), from 0 to 1.
    pub fit: f64,
}

impl LinearFit {
    /// Fits a line to `(x, y)` points, or returns `None` for fewer than two distinct
    /// values of x.
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
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

    /// Returns the line's y at this x.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
