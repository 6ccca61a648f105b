//! Values that recur among those recorded.

/// A value and its decaying number of occurrences.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ValueCount {
    value: f64,
    count: f64,
}

/// The few values that recur most often among those recorded, where nearly equal values count as the same.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecurringValues {
    slots: [ValueCount; 4],
    /// Largest difference of two values that count as the same, as a fraction of the newer one.
    tolerance: f64,
}

impl RecurringValues {
    /// An empty record; `tolerance` is the largest difference of equal values, as a fraction of the newer
    /// one.
    pub fn new(tolerance: f64) -> RecurringValues {
        RecurringValues { tolerance, ..RecurringValues::default() }
    }

    /// Records a value; all earlier counts decay by the fraction `decay`. A new value replaces the rarest.
    pub fn record(&mut self, value: f64, decay: f64) {
        let mut rarest = 0;
        let mut matching = None;
        for slot in &mut self.slots {
            slot.count *= 1.0 - decay;
        }
        for (index, slot) in self.slots.iter().enumerate() {
            if slot.count < self.slots[rarest].count {
                rarest = index;
            }
            if matching.is_none() && self.is_same(slot.value, value) {
                matching = Some(index);
            }
        }
        let count = matching.map_or(0.0, |index| self.slots[index].count) + 1.0;
        self.slots[matching.unwrap_or(rarest)] = ValueCount { value, count };
    }

    /// Sum of all counts.
    pub fn total_count(&self) -> f64 {
        self.slots.iter().map(|slot| slot.count).sum()
    }

    /// The values that were recorded at least this often; never those without any occurrence.
    pub fn values_with_count(&self, least_count: f64) -> impl Iterator<Item = f64> + '_ {
        let is_frequent = move |slot: &&ValueCount| slot.count >= least_count && slot.count > 0.0;
        self.slots.iter().filter(is_frequent).map(|slot| slot.value)
    }

    /// Whether a recorded value counts as the same as this one.
    pub fn is_same(&self, recorded: f64, value: f64) -> bool {
        (recorded - value).abs() <= self.tolerance * value
    }
}
