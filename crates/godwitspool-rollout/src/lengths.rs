//! Distribution of answer lengths.

use hdrhistogram::Histogram;

const MAX_TOKENS: u64 = 1 << 24;
const SIGNIFICANT_DIGITS: u8 = 2;

/// A histogram of answer lengths in tokens.
///
/// Lengths are recorded with two significant digits, and lengths above 2^24 tokens as 2^24.
///
/// ```
/// use godwitspool_rollout::Lengths;
///
/// let mut lengths = Lengths::default();
/// (0..95).for_each(|_| lengths.add(100));
/// (0..5).for_each(|_| lengths.add(1_000));
/// assert!(lengths.expected_remaining(0) < 150.0);
/// assert!(lengths.expected_remaining(200) > 700.0);
/// ```
#[derive(Clone, Debug)]
pub struct Lengths {
    histogram: Option<Histogram<u32>>,
}

impl Default for Lengths {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(MAX_TOKENS, SIGNIFICANT_DIGITS);
        Self {
            histogram: histogram.ok(),
        }
    }
}

impl Lengths {
    /// Records the length of a complete answer.
    pub fn add(&mut self, tokens: u64) {
        if let Some(histogram) = &mut self.histogram {
            histogram.saturating_record(tokens.min(MAX_TOKENS));
        }
    }

    /// Returns the number of recorded answers.
    pub fn len(&self) -> u64 {
        self.histogram.as_ref().map_or(0, Histogram::len)
    }

    /// Returns `true` if no answer was recorded.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the length at a quantile from 0.0 to 1.0, or 0 without recorded answers.
    pub fn quantile(&self, part: f64) -> u64 {
        let histogram = self.histogram.as_ref();
        histogram.map_or(0, |histogram| histogram.value_at_quantile(part))
    }

    /// Returns the mean length, or 0.0 without recorded answers.
    pub fn mean(&self) -> f64 {
        self.histogram.as_ref().map_or(0.0, Histogram::mean)
    }

    /// Returns how many more tokens to expect from an answer that already has `tokens`.
    ///
    /// This is the mean remainder of the recorded answers that are longer. If none is longer, the
    /// answer is expected to double in length.
    pub fn expected_remaining(&self, tokens: u64) -> f64 {
        let recorded = self.histogram.iter().flat_map(Histogram::iter_recorded);
        let longer = recorded.filter(|bucket| bucket.value_iterated_to() > tokens);
        let (mut count, mut remaining) = (0.0, 0.0);
        for bucket in longer {
            let answers = f64::from(bucket.count_at_value());
            count += answers;
            remaining += answers * (bucket.value_iterated_to() - tokens) as f64;
        }
        if count > 0.0 {
            remaining / count
        } else {
            tokens as f64
        }
    }
}
