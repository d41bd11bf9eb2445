//! Least-squares fit of a straight line.

use serde::{Deserialize, Serialize};

/// A measured point.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Size at which the value was measured.
    pub size: f64,
    /// Measured value.
    pub value: f64,
}

/// A straight line through measured points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// Value at size zero.
    pub base: f64,
    /// Increase of the value for one more unit of size.
    pub slope: f64,
    /// Part of the variance that the line explains, from 0 to 1.
    pub r_squared: f64,
}

impl Fit {
    /// Fits a line to the points, of which there must be two with different sizes.
    pub fn of(points: &[Point]) -> Self {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|it| it.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|it| it.value).sum::<f64>() / count;
        let mut covariance = 0.0;
        let mut size_variance = 0.0;
        let mut value_variance = 0.0;
        for point in points {
            let size = point.size - mean_size;
            let value = point.value - mean_value;
            covariance += size * value;
            size_variance += size * size;
            value_variance += value * value;
        }
        let slope = covariance / size_variance;
        let explained = covariance * covariance / (size_variance * value_variance);
        let r_squared = if value_variance == 0.0 { 1.0 } else { explained };
        Self { base: mean_value - slope * mean_size, slope, r_squared }
    }

    /// Returns the value that the line gives for a size.
    pub fn at(self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
