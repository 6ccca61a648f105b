//! Budgets of further tries: each first try of a tenant in a cell pays for a part of one, so that tries again can't
//! multiply the load on a cell that refuses or breaks.

use std::collections::{BTreeMap, HashMap};

use mothwinch_cells::map::Name;

/// The budgets of all tenants, for a bounded number of them.
#[derive(Debug)]
pub struct Budget {
    ratio: f64,
    burst: f64,
    most: usize,
    /// What is left of each, and when it was last used, by a count of uses.
    left: HashMap<(Name, Name), (f64, u64)>,
    used: BTreeMap<u64, (Name, Name)>,
    uses: u64,
}

impl Budget {
    /// Budgets that start full at `burst` tries and get `ratio` of a try with each first one.
    pub fn new(ratio: f64, burst: f64, most: usize) -> Budget {
        Budget { ratio, burst, most: most.max(1), left: HashMap::new(), used: BTreeMap::new(), uses: 0 }
    }

    fn entry(&mut self, tenant: &Name, cell: &Name) -> &mut f64 {
        let key = (tenant.clone(), cell.clone());
        self.uses += 1;
        if let Some((_, at)) = self.left.get(&key) {
            self.used.remove(at);
        } else if self.left.len() >= self.most {
            if let Some((_, oldest)) = self.used.pop_first() {
                self.left.remove(&oldest);
            }
        }
        self.used.insert(self.uses, key.clone());
        let entry = self.left.entry(key).or_insert((self.burst, self.uses));
        entry.1 = self.uses;
        &mut entry.0
    }
    /// A first try goes out.
    pub fn first_try(&mut self, tenant: &Name, cell: &Name) {
        let (ratio, burst) = (self.ratio, self.burst);
        let left = self.entry(tenant, cell);
        *left = (*left + ratio).min(burst);
    }
    /// Whether a further try may go out; it is paid for.
    pub fn further_try(&mut self, tenant: &Name, cell: &Name) -> bool {
        let left = self.entry(tenant, cell);
        let may = *left >= 1.0;
        *left -= f64::from(u8::from(may));
        may
    }
    /// Budgets that are remembered.
    pub fn remembered(&self) -> usize {
        self.left.len()
    }
}
