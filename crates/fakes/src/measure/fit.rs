//! Linear regression by least squares.

use serde::{Deserialize, Serialize};

/// A measured point.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Independent variable, for example the number of connected agents.
    pub size: f64,
    /// Measured value at that size.
    pub value: f64,
}

/// Least-squares line through measured points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// Intercept: value of the line at size zero.
    pub base: f64,
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Coefficient of determination: fraction of the variance that the line explains, from 0 to 1.
    pub r_squared: f64,
}

impl Fit {
    /// Fits a line to the points.
    ///
    /// At least two points must differ in size; otherwise the slope is not finite.
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

    /// Returns the value of the line at a size.
    pub fn at(self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
