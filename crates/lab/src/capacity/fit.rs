//! Linear regression through measured points.

use serde::Serialize;

/// One measured point.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct MeasuredPoint {
    /// Count at which the value was measured.
    pub count: f64,
    /// Measured value, in the unit of the row.
    pub value: f64,
}

/// Least-squares line through measured points.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct FittedLine {
    /// Growth of the value per unit of the count.
    pub slope: f64,
    /// Value of the line at a count of zero.
    pub intercept: f64,
    /// Coefficient of determination: share of the variance that the line explains.
    pub r2: f64,
}

impl FittedLine {
    /// Fits a line; it is flat when all points have the same count.
    #[must_use]
    pub fn through(points: &[MeasuredPoint]) -> Self {
        let size = to_f64(points.len());
        let mean_x = points.iter().map(|point| point.count).sum::<f64>() / size;
        let mean_y = points.iter().map(|point| point.value).sum::<f64>() / size;
        let x_squares: f64 = points
            .iter()
            .map(|point| (point.count - mean_x).powi(2))
            .sum();
        let cross_products: f64 = points
            .iter()
            .map(|point| (point.count - mean_x) * (point.value - mean_y))
            .sum();
        let slope = if x_squares > 0.0 {
            cross_products / x_squares
        } else {
            0.0
        };
        let intercept = mean_y - slope * mean_x;
        let line = Self {
            slope,
            intercept,
            r2: 1.0,
        };
        Self {
            r2: line.r_squared(points, mean_y),
            ..line
        }
    }

    /// Returns the value of the line at a count.
    #[must_use]
    pub fn at(&self, count: f64) -> f64 {
        self.intercept + self.slope * count
    }

    fn r_squared(&self, points: &[MeasuredPoint], mean: f64) -> f64 {
        let total_squares: f64 = points
            .iter()
            .map(|point| (point.value - mean).powi(2))
            .sum();
        let residual_squares: f64 = points
            .iter()
            .map(|point| (point.value - self.at(point.count)).powi(2))
            .sum();
        if total_squares > 0.0 {
            1.0 - residual_squares / total_squares
        } else {
            1.0
        }
    }
}

/// Converts a count to a floating-point number; counts above `u32::MAX` saturate, which
/// no count in these measurements reaches.
#[must_use]
pub fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
