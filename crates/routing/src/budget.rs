//! Budgets of further tries: each first try of a tenant in a cell pays for a part of one, so that tries again can't
//! multiply the load on a cell that refuses or breaks.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use cells::map::Name;

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
    /// This router's part of what the fleet has for all, where it has a budget of further tries.
    part: Option<Part>,
}

/// Seconds of a part that can be saved up: tries come in bursts, as nodes refuse in bursts.
const SAVED: f64 = 0.25;

/// A part of the fleet's further tries, so many a second, which changes as parts move. All parts add up to the total at
/// every instant, so in any time all routers together spend what the total is for it, and what each had saved.
#[derive(Debug)]
struct Part {
    a_second: f64,
    saved: f64,
    at: Duration,
    spent: u64,
    asked: u64,
}

impl Part {
    fn change(&mut self, a_second: f64, now: Duration) {
        self.saved += self.a_second * now.saturating_sub(self.at).as_secs_f64();
        // One whole try has to fit, or a small part would never come to one.
        let most = if a_second > 0.0 {
            (a_second * SAVED).max(1.0)
        } else {
            0.0
        };
        (self.at, self.a_second, self.saved) = (now, a_second, self.saved.min(most));
    }
}

impl Budget {
    /// The fleet's further tries, of which this router may spend so many a second from now on; none where the fleet has no
    /// such budget.
    pub fn set_part(&mut self, a_second: Option<u64>, now: Duration) {
        self.part = a_second.map(|a_second| {
            let new = Part {
                a_second: 0.0,
                saved: 0.0,
                at: now,
                spent: 0,
                asked: 0,
            };
            let mut part = self.part.take().unwrap_or(new);
            part.change(a_second as f64, now);
            part
        });
    }
    /// Further tries spent, and those that would have been with a larger part, since this was last asked.
    pub fn take_counts(&mut self) -> (u64, u64) {
        let part = self.part.as_mut();
        part.map_or((0, 0), |p| {
            (std::mem::take(&mut p.spent), std::mem::take(&mut p.asked))
        })
    }

    /// Budgets that start full at `burst` tries and get `ratio` of a try with each first one.
    pub fn new(ratio: f64, burst: f64, most: usize) -> Budget {
        Budget {
            ratio,
            burst,
            most: most.max(1),
            left: HashMap::new(),
            used: BTreeMap::new(),
            uses: 0,
            part: None,
        }
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
    /// Whether a further try may go out; it is paid for, out of the tenant's budget and the fleet's.
    pub fn further_try(&mut self, tenant: &Name, cell: &Name, now: Duration) -> bool {
        if *self.entry(tenant, cell) < 1.0 {
            return false;
        }
        if let Some(part) = &mut self.part {
            part.change(part.a_second, now);
            part.asked += 1;
            if part.saved < 1.0 {
                return false;
            }
            part.saved -= 1.0;
            part.spent += 1;
        }
        *self.entry(tenant, cell) -= 1.0;
        true
    }
    /// Budgets that are remembered.
    pub fn remembered(&self) -> usize {
        self.left.len()
    }
}
