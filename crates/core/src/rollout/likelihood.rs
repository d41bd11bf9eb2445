//! Likelihood ratios of a version with more bad answers over an equally good one.

/// Odds of a bad answer of the new version, relative to the old one, that are tested as a mixture.
const ODDS: [f64; 4] = [2.0, 4.0, 12.0, 50.0];

/// Numbers of answers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) total: u32,
    pub(crate) bad: u32,
}

/// Logarithms of likelihood ratios for each of the odds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LogRatio([f64; ODDS.len()]);

impl LogRatio {
    /// Returns the ratio of the answers of both versions at the same time.
    pub(crate) fn same_time(old: Counts, new: Counts) -> Self {
        let total = old.total + new.total;
        let bad = old.bad + new.bad;
        let mut ratio = Self::default();
        if bad == 0 || bad == total || old.total == 0 || new.total == 0 {
            return ratio;
        }
        // Logarithms of the probabilities of each number of bad answers of the new version.
        let lowest = bad.saturating_sub(old.total);
        let highest = bad.min(new.total);
        let mut weights = vec![0.0];
        for count in lowest..highest {
            let up = f64::from(bad - count) * f64::from(new.total - count);
            let down = f64::from(count + 1) * f64::from(old.total + count + 1 - bad);
            weights.push(weights[weights.len() - 1] + (up / down).ln());
        }
        let base = log_sum_exp(weights.iter().copied());
        for (value, odds) in ratio.0.iter_mut().zip(ODDS) {
            let shift = odds.ln();
            let tilted = weights.iter().enumerate().map(|(index, it)| it + index as f64 * shift);
            *value = f64::from(new.bad - lowest) * shift - (log_sum_exp(tilted) - base);
        }
        ratio
    }

    /// Returns the ratio of answers of the new version against an upper bound of the rate of bad answers
    /// in `reference`, increased by `allowance`.
    pub(crate) fn against_reference(reference: Counts, new: Counts, allowance: f64) -> Self {
        let mut ratio = Self::default();
        if reference.total == 0 || new.total == 0 {
            return ratio;
        }
        let bad = f64::from(reference.bad);
        // Two standard deviations of a Poisson count, and one for the case of none.
        let bound = bad + 2.0 * (bad + 1.0).sqrt() + 1.0;
        let rate = bound / f64::from(reference.total) + allowance;
        if rate >= 1.0 {
            return ratio;
        }
        for (value, odds) in ratio.0.iter_mut().zip(ODDS) {
            let norm = 1.0 - rate + odds * rate;
            *value = f64::from(new.bad) * odds.ln() - f64::from(new.total) * norm.ln();
        }
        ratio
    }

    /// Returns the ratio, with no logarithm above `highest`.
    pub(crate) fn limited(self, highest: f64) -> Self {
        Self(self.0.map(|it| it.min(highest)))
    }

    /// Multiplies by another ratio.
    pub(crate) fn add(&mut self, other: &Self) {
        for (value, more) in self.0.iter_mut().zip(other.0) {
            *value += more;
        }
    }

    /// Returns the logarithm of the mixture over the odds.
    pub(crate) fn value(&self) -> f64 {
        log_sum_exp(self.0.iter().copied()) - (ODDS.len() as f64).ln()
    }
}

fn log_sum_exp(values: impl Iterator<Item = f64> + Clone) -> f64 {
    let highest = values.clone().fold(f64::NEG_INFINITY, f64::max);
    highest + values.map(|it| (it - highest).exp()).sum::<f64>().ln()
}
