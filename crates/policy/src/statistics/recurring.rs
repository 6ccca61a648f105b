//! Values that recur among those recorded.

/// A value and its decaying number of occurrences.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ValueCount {
    value: f64,
    count: f64,
}

/// The few values that recur most often among those recorded, where nearly equal values count as
/// the same.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecurringValues {
    entries: [ValueCount; 4],
    /// Largest difference of two values that count as the same, as a fraction of the newer one.
    tolerance: f64,
}

impl RecurringValues {
    /// Creates an empty record; `tolerance` is the largest difference of values that count as the
    /// same, as a fraction of the newer one.
    pub fn new(tolerance: f64) -> RecurringValues {
        RecurringValues { tolerance, ..RecurringValues::default() }
    }

    /// Records a value; all earlier counts decay by the fraction `decay`. A new value replaces the
    /// rarest.
    pub fn record(&mut self, value: f64, decay: f64) {
        let mut rarest = 0;
        let mut matching = None;
        for entry in &mut self.entries {
            entry.count *= 1.0 - decay;
        }
        for (index, entry) in self.entries.iter().enumerate() {
            if entry.count < self.entries[rarest].count {
                rarest = index;
            }
            if matching.is_none() && self.is_same(entry.value, value) {
                matching = Some(index);
            }
        }
        let count = matching.map_or(0.0, |index| self.entries[index].count) + 1.0;
        self.entries[matching.unwrap_or(rarest)] = ValueCount { value, count };
    }

    /// Returns the sum of all counts.
    pub fn total_count(&self) -> f64 {
        self.entries.iter().map(|entry| entry.count).sum()
    }

    /// Returns the values that were recorded at least this often; never those without any
    /// occurrence.
    pub fn values_with_count(&self, min_count: f64) -> impl Iterator<Item = f64> + '_ {
        let is_frequent = move |entry: &&ValueCount| entry.count >= min_count && entry.count > 0.0;
        self.entries.iter().filter(is_frequent).map(|entry| entry.value)
    }

    /// Returns true if a recorded value counts as the same as `value`.
    pub fn is_same(&self, recorded: f64, value: f64) -> bool {
        (recorded - value).abs() <= self.tolerance * value
    }
}
