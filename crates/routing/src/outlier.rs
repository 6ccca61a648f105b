//! Nodes that do worse than they should are left out for a while, then probed, then taken back by degrees.

use std::collections::BTreeMap;
use std::time::Duration;

use cells::map::Name;

/// What leaves a node out, and how it comes back.
#[derive(Clone, Debug)]
pub struct Outlier {
    /// Bad ends one after the other that leave it out.
    pub in_a_row: u32,
    /// The part of bad ends, over the last some `memory` of them, that leaves it out ...
    pub part: f64,
    /// ... and over how many ends that part is taken; with fewer it is not looked at.
    pub memory: u32,
    /// How long it is out the first time; doubled each time.
    pub first: Duration,
    /// How long it is out at the most.
    pub longest: Duration,
    /// Time without being left out after which the next is the first again.
    pub forgive: Duration,
    /// One probe at a time, given up after this long.
    pub probe: Duration,
    /// Time over which one that is taken back gets its full part again.
    pub ramp: Duration,
    /// The part of a cell's weight that may be out at once.
    pub most: f64,
}

impl Default for Outlier {
    fn default() -> Outlier {
        Outlier {
            in_a_row: 5,
            part: 0.5,
            memory: 32,
            first: Duration::from_secs(1),
            longest: Duration::from_secs(30),
            forgive: Duration::from_secs(60),
            probe: Duration::from_secs(2),
            ramp: Duration::from_secs(5),
            most: 0.5,
        }
    }
}

/// How a node stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Standing {
    /// It gets this part of what it otherwise would; above 0, and 1 ordinarily.
    In {
        /// From 0 to 1.
        part: f64,
    },
    /// It gets nothing.
    Out,
    /// It may get one request, to see whether it is well again.
    Probe,
}

impl Standing {
    /// Whether it gets nothing, or a probe at most.
    pub fn is_out(self) -> bool {
        !matches!(self, Standing::In { .. })
    }
}

#[derive(Clone, Debug, Default)]
struct Record {
    row: u32,
    ends: u32,
    /// The part of bad ends, fading.
    bad: f64,
    /// Until when it is out, if it is; probed from then on.
    out_until: Option<Duration>,
    probed: Option<Duration>,
    times: u32,
    back_since: Option<Duration>,
}

/// The nodes' records.
#[derive(Clone, Debug)]
pub struct Outliers {
    rules: Outlier,
    records: BTreeMap<Name, Record>,
}

impl Outliers {
    /// Nothing is known of any node.
    pub fn new(rules: Outlier) -> Outliers {
        Outliers {
            rules,
            records: BTreeMap::new(),
        }
    }

    /// How a node stands now.
    pub fn standing(&self, node: &str, now: Duration) -> Standing {
        let Some(record) = self.records.get(node) else {
            return Standing::In { part: 1.0 };
        };
        match (record.out_until, record.probed) {
            (Some(until), _) if now < until => Standing::Out,
            (Some(_), Some(since)) if now < since + self.rules.probe => Standing::Out,
            (Some(_), _) => Standing::Probe,
            (None, _) => {
                let part = record.back_since.map_or(1.0, |since| {
                    let gone = now.saturating_sub(since).as_secs_f64();
                    gone / self.rules.ramp.as_secs_f64().max(1e-9)
                });
                Standing::In {
                    part: part.clamp(0.1, 1.0),
                }
            }
        }
    }

    /// A probe goes to it.
    pub fn probe(&mut self, node: &str, now: Duration) {
        if let Some(record) = self.records.get_mut(node) {
            record.probed = Some(now);
        }
    }

    /// A request at it ended well, or not.
    pub fn heard(&mut self, node: &str, well: bool, now: Duration) {
        let Outliers { rules, records } = self;
        let record = match records.get_mut(node) {
            Some(record) => record,
            None => records.entry(node.into()).or_default(),
        };
        if let Some(until) = record.out_until {
            // Ends of what was sent before it was left out tell nothing new.
            if record.probed.is_none() || now < until {
                return;
            }
            if well {
                *record = Record {
                    times: record.times,
                    back_since: Some(now),
                    ..Record::default()
                };
            } else {
                Outliers::leave_out(rules, record, now);
            }
            return;
        }
        record.row = if well { 0 } else { record.row + 1 };
        record.ends = record.ends.saturating_add(1);
        record.bad += (f64::from(u8::from(!well)) - record.bad)
            / f64::from(record.ends.min(rules.memory).max(1));
        if record
            .back_since
            .is_some_and(|since| now.saturating_sub(since) >= rules.forgive)
        {
            record.times = 0;
        }
        let often = record.ends >= rules.memory && record.bad > rules.part;
        if record.row >= rules.in_a_row || often {
            Outliers::leave_out(rules, record, now);
        }
    }

    fn leave_out(rules: &Outlier, record: &mut Record, now: Duration) {
        let out = (rules.first * 2u32.saturating_pow(record.times.min(16))).min(rules.longest);
        *record = Record {
            out_until: Some(now + out),
            times: record.times + 1,
            ..Record::default()
        };
    }
}
