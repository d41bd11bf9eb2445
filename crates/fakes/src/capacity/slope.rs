//! Growth of a measured quantity with a size.

use serde::{Deserialize, Serialize};

use crate::measure::fit::{Fit, Point};

/// Measurements of a quantity at several sizes, with a fitted line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// Name of the measured quantity.
    pub quantity: String,
    /// Unit of the value.
    pub unit: String,
    /// What the size counts, in the singular.
    pub per: String,
    /// Measured sizes and values.
    pub points: Vec<Point>,
    /// Line fitted to the points.
    pub fit: Fit,
}

impl Slope {
    /// Fits a line to `(size, value)` pairs.
    pub fn new(quantity: &str, unit: &str, per: &str, pairs: &[(f64, f64)]) -> Self {
        let mut points = Vec::new();
        for &(size, value) in pairs {
            points.push(Point { size, value });
        }
        let fit = Fit::of(&points);
        Self {
            quantity: quantity.to_owned(),
            unit: unit.to_owned(),
            per: per.to_owned(),
            points,
            fit,
        }
    }
}
