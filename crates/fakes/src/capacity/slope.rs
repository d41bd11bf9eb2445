//! A measured quantity against a size, with the line through it.

use serde::{Deserialize, Serialize};

use crate::measure::fit::{Fit, Point};

/// A measured quantity against a size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// What was measured.
    pub quantity: String,
    /// Unit of the value.
    pub unit: String,
    /// What the size counts.
    pub per: String,
    /// Measured points.
    pub points: Vec<Point>,
    /// Line through the points.
    pub fit: Fit,
}

impl Slope {
    /// Fits a line through pairs of size and value.
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
