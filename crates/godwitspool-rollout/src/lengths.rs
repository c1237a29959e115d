//! How long answers are.

use hdrhistogram::Histogram;

const MOST_TOKENS: u64 = 1 << 24;
const SIGNIFICANT_DIGITS: u8 = 2;

/// The distribution of answers' lengths in tokens.
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
        let histogram = Histogram::new_with_max(MOST_TOKENS, SIGNIFICANT_DIGITS);
        Self {
            histogram: histogram.ok(),
        }
    }
}

impl Lengths {
    /// Adds the length of a whole answer.
    pub fn add(&mut self, tokens: u64) {
        if let Some(histogram) = &mut self.histogram {
            histogram.saturating_record(tokens.min(MOST_TOKENS));
        }
    }

    /// Counts the answers.
    pub fn len(&self) -> u64 {
        self.histogram.as_ref().map_or(0, Histogram::len)
    }

    /// Tells whether no answer was added.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the length below which a part of the answers end.
    pub fn quantile(&self, part: f64) -> u64 {
        let histogram = self.histogram.as_ref();
        histogram.map_or(0, |histogram| histogram.value_at_quantile(part))
    }

    /// Returns the mean length.
    pub fn mean(&self) -> f64 {
        self.histogram.as_ref().map_or(0.0, Histogram::mean)
    }

    /// Returns how many more tokens to expect from an answer that has `tokens` already: the mean
    /// rest of the answers that grew longer. Beyond the longest one the rest is as long again.
    pub fn expected_remaining(&self, tokens: u64) -> f64 {
        let recorded = self.histogram.iter().flat_map(Histogram::iter_recorded);
        let longer = recorded.filter(|bucket| bucket.value_iterated_to() > tokens);
        let (mut count, mut rest) = (0.0, 0.0);
        for bucket in longer {
            let answers = f64::from(bucket.count_at_value());
            count += answers;
            rest += answers * (bucket.value_iterated_to() - tokens) as f64;
        }
        if count > 0.0 {
            rest / count
        } else {
            tokens as f64
        }
    }
}
