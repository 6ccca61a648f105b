//! Counts and evidence, gathered: each node reports what it counts and finds to two members that the view's names choose, and
//! hears from them the sum over all that reported. A report carries what has changed, an answer likewise, so both are bounded
//! whatever the number of tenants and of nodes.
//!
//! How old a sum is can be told without clocks that agree: a report names the gatherer's last answer and the time since it
//! came, so it was made no earlier than that; and an answer holds what had been reported when its own report came.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use membership::member_state::hash_name;
use membership::Name;
use serde::{Deserialize, Serialize};

use crate::cells::{Cells, Change, CELLS};
use crate::evidence::{Condition, Found, Judgement, Tally};

/// The service below that all nodes share.
pub const LEDGER: u8 = 0;
/// Services of which evidence is told.
pub(crate) const SERVICES: usize = 4;

/// Times and sizes, the same on all nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct Pace {
    /// Between two reports of a node ...
    pub period: Duration,
    /// ... and at least this much for each member: a gatherer hears so many reports a second at the most.
    pub each: Duration,
    /// Past this age nothing counts any more.
    pub stale: Duration,
    /// Nodes that one gatherer hears at the most.
    pub nodes: usize,
    /// By what part two clocks' rates may differ at the most, in millionths.
    pub drift_ppm: u32,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            period: Duration::from_millis(250),
            each: Duration::from_millis(1),
            stale: Duration::from_secs(3),
            nodes: 8192,
            drift_ppm: 10_000,
        }
    }
}

impl Pace {
    /// Between two reports in a fleet of so many.
    pub fn between(&self, members: usize) -> Duration {
        self.period.max(self.each * members as u32)
    }
    /// Past this age nothing counts in a fleet of so many: four reports may be lost.
    pub fn stale(&self, members: usize) -> Duration {
        self.stale.max(self.between(members) * 5)
    }
    fn longer(&self, time: Duration) -> Duration {
        time + time * self.drift_ppm / 1_000_000
    }
    fn shorter(&self, time: Duration) -> Duration {
        time - time * self.drift_ppm / 1_000_000
    }
}

/// What a node counts and finds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The node's life.
    pub life: u64,
    /// Rises with each.
    pub seq: u32,
    /// What is told beside this report is as in that one; 0 for none.
    pub base: u32,
    /// The gatherer's last answer by its own stamp, and milliseconds since it came.
    pub echo: Option<(u64, u32)>,
    /// The sum that the node holds: the gatherer's life and the sum's number.
    pub holds: (u64, u64),
    /// Cells that may differ from the report `base`.
    pub cells: Vec<Change>,
    /// What it finds of services, by their numbers.
    pub found: Vec<(u8, Condition)>,
    /// Where it stands.
    pub site: Name,
}

/// The sum over all that reported.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The gatherer's life.
    pub life: u64,
    /// The report that this answers.
    pub seq: u32,
    /// The asker's report that is in the sum; 0 for none.
    pub held: u32,
    /// The gatherer's clock in milliseconds, for it alone to read.
    pub stamp: u64,
    /// Cells not told are as in this sum; 0 for none.
    pub base: u64,
    /// The sum's number.
    pub version: u64,
    /// Cells that may differ from the sum `base`.
    pub cells: Vec<Change>,
    /// Nodes in the sum whose reports' age is known, the asker's among them, and milliseconds of the oldest.
    pub covered: (u32, u32),
    /// Nodes that the gatherer holds to be there.
    pub there: u32,
    /// What the others find of services.
    pub tallies: Vec<(u8, Tally)>,
}

struct Reporter {
    life: u64,
    seq: u32,
    site: Name,
    cells: Cells,
    /// It was made no earlier than this; without a known age it counts, and says nothing for how old the sum is.
    made: Option<Duration>,
    /// When it came, which is when it goes stale at the latest.
    came: Duration,
    found: Vec<(u8, Condition)>,
}

/// One that gathers.
struct Gatherer {
    life: u64,
    reporters: BTreeMap<Name, Reporter>,
    sum: Cells,
    version: u64,
    /// The sum's number when each cell last changed.
    changed: Box<[u64]>,
    /// Those of known age, the oldest first.
    ages: BTreeSet<(Duration, Name)>,
    /// When each came, the longest ago first.
    came: BTreeSet<(Duration, Name)>,
    found: [BTreeMap<Name, Found>; SERVICES],
}

impl Gatherer {
    fn new(life: u64) -> Gatherer {
        Gatherer {
            life,
            reporters: BTreeMap::new(),
            sum: Cells::default(),
            version: 1,
            changed: vec![0; CELLS].into(),
            ages: BTreeSet::new(),
            came: BTreeSet::new(),
            found: Default::default(),
        }
    }
    fn count_found(&mut self, reporter: &Reporter, more: bool) {
        for (service, condition) in &reporter.found {
            let Some(sites) = self.found.get_mut(usize::from(*service)) else {
                continue;
            };
            let found = sites.entry(reporter.site.clone()).or_default();
            found.count(*condition, more);
            if found.tried() == 0 {
                sites.remove(&reporter.site);
            }
        }
    }
    /// Takes a node out of the sum.
    fn take(&mut self, name: &Name) -> Option<Reporter> {
        let reporter = self.reporters.remove(name)?;
        self.sum.take(&reporter.cells);
        if let Some(made) = reporter.made {
            self.ages.remove(&(made, name.clone()));
        }
        self.came.remove(&(reporter.came, name.clone()));
        self.count_found(&reporter, false);
        Some(reporter)
    }
    /// Puts it in, and marks the cells that changed by it.
    fn put(&mut self, name: &Name, reporter: Reporter, before: &Cells) {
        self.version += 1;
        for Change(cell, _) in reporter.cells.differs(std::iter::once(before)) {
            self.changed[usize::from(cell)] = self.version;
        }
        self.sum.add(&reporter.cells);
        if let Some(made) = reporter.made {
            self.ages.insert((made, name.clone()));
        }
        self.came.insert((reporter.came, name.clone()));
        self.count_found(&reporter, true);
        self.reporters.insert(name.clone(), reporter);
    }
    /// What is too old counts no more.
    fn forget(&mut self, now: Duration, stale: Duration) {
        let old = |at: &Duration| *at + stale < now;
        while let Some((_, name)) = self.ages.first().filter(|(at, _)| old(at)).cloned() {
            self.drop_one(&name);
        }
        while let Some((_, name)) = self.came.first().filter(|(at, _)| old(at)).cloned() {
            self.drop_one(&name);
        }
    }
    fn drop_one(&mut self, name: &Name) {
        if let Some(gone) = self.take(name) {
            self.version += 1;
            for Change(cell, _) in gone.cells.differs(std::iter::once(&Cells::default())) {
                self.changed[usize::from(cell)] = self.version;
            }
        }
    }

    /// A report came.
    fn hear(
        &mut self,
        from: &Name,
        report: Report,
        pace: &Pace,
        there: usize,
        now: Duration,
    ) -> Option<Answer> {
        self.forget(now, pace.stale(there));
        let known = self.reporters.get(from).map(|r| (r.life, r.seq));
        let full = report.base == 0;
        let new = known.is_none_or(|(life, _)| report.life > life);
        if known.is_some_and(|k| k.0 > report.life || k.0 == report.life && k.1 >= report.seq) {
            // Of an earlier life, or late, or doubled.
            return None;
        }
        let usable = match known {
            Some((life, seq)) if life == report.life => full || report.base <= seq,
            _ => full && (new && self.reporters.len() < pace.nodes || known.is_some()),
        };
        if usable {
            let before = self.take(from);
            let old = before.map(|r| r.cells).unwrap_or_default();
            let mut cells = if full { Cells::default() } else { old.clone() };
            cells.set(&report.cells);
            // An answer of an earlier life told another clock; and nothing was made in the future.
            let echo = report.echo.filter(|_| report.holds.0 == self.life);
            let made = echo.map(|(stamp, since)| {
                let since = pace.shorter(Duration::from_millis(u64::from(since)));
                (Duration::from_millis(stamp) + since).min(now)
            });
            let found: Vec<(u8, Condition)> = report.found.into_iter().take(SERVICES).collect();
            let (life, seq, site) = (report.life, report.seq, report.site);
            let reporter = Reporter {
                life,
                seq,
                site,
                cells,
                made,
                came: now,
                found,
            };
            self.put(from, reporter, &old);
        }
        let held = self
            .reporters
            .get(from)
            .filter(|r| r.life == report.life)
            .map_or(0, |r| r.seq);
        let base = if report.holds.0 == self.life {
            report.holds.1
        } else {
            0
        };
        let cells = (0..CELLS).filter(|cell| base == 0 || self.changed[*cell] > base);
        let oldest = self
            .ages
            .first()
            .map_or(Duration::ZERO, |(at, _)| now.saturating_sub(*at));
        Some(Answer {
            life: self.life,
            seq: report.seq,
            held,
            stamp: now.as_millis() as u64,
            base,
            version: self.version,
            cells: cells
                .map(|cell| Change(cell as u8, self.sum.get(cell)))
                .filter(|c| base > 0 || c.1 > 0)
                .collect(),
            covered: (self.ages.len() as u32, oldest.as_millis() as u32 + 1),
            there: there as u32,
            tallies: (0..SERVICES as u8)
                .filter_map(|s| Some((s, self.tally(s, from)?)))
                .collect(),
        })
    }
    /// What others than this one find of a service.
    fn tally(&self, service: u8, but: &Name) -> Option<Tally> {
        let sites = self
            .found
            .get(usize::from(service))
            .filter(|s| !s.is_empty())?;
        let own = self.reporters.get(but);
        let site = own.map(|r| r.site.clone());
        let mut here = site
            .as_ref()
            .and_then(|s| sites.get(s))
            .copied()
            .unwrap_or_default();
        let found = own
            .iter()
            .flat_map(|r| &r.found)
            .filter(|(s, _)| *s == service);
        found.for_each(|(_, condition)| here.count(*condition, false));
        Some(Tally::of(
            here,
            sites
                .iter()
                .filter(|(name, _)| Some(*name) != site.as_ref())
                .map(|(_, f)| *f),
        ))
    }
}

/// One that is reported to, as the reporting node holds it.
struct Source {
    name: Name,
    /// Reports on their way, when they were made, and what each says.
    sent: VecDeque<(u32, Duration, Cells)>,
    /// The report that the gatherer holds, and what it says.
    held: (u32, Cells),
    /// Its last answer's stamp, and when that came.
    stamp: Option<(u64, Duration)>,
    sum: Sum,
}

/// Reports kept until they are answered: an answer later than this many reports is of no use.
const SENT: usize = 8;

/// What a gatherer said last.
#[derive(Clone, Debug, Default)]
struct Sum {
    life: u64,
    version: u64,
    cells: Cells,
    /// What of it is this node's own.
    own: Cells,
    /// Each node in it is counted as of a moment no earlier than this.
    as_of: Duration,
    covered: u32,
    there: u32,
    tallies: Vec<(u8, Tally)>,
}

impl Source {
    fn new(name: Name) -> Source {
        Source {
            name,
            sent: VecDeque::new(),
            held: (0, Cells::default()),
            stamp: None,
            sum: Sum::default(),
        }
    }
    fn report(
        &mut self,
        me: &Me,
        counts: &Cells,
        found: &[(u8, Condition)],
        now: Duration,
    ) -> Report {
        let (base, as_held) = &self.held;
        // What any report since has said may be what the gatherer holds: a cell that is back at what it was is told too.
        let earlier = std::iter::once(as_held).chain(self.sent.iter().map(|(_, _, cells)| cells));
        let cells = counts.differs(earlier);
        let since = |at: &(u64, Duration)| (at.0, now.saturating_sub(at.1).as_millis() as u32);
        let report = Report {
            life: me.life,
            seq: me.seq,
            base: *base,
            echo: self.stamp.as_ref().map(since),
            holds: (self.sum.life, self.sum.version),
            cells: if *base == 0 {
                counts.differs(std::iter::once(&Cells::default()))
            } else {
                cells
            },
            found: found.to_vec(),
            site: me.site.clone(),
        };
        if self.sent.len() >= SENT {
            self.sent.pop_front();
            // Of what it may hold one is forgotten, so the next report has to say all.
            self.held = (0, Cells::default());
        }
        self.sent.push_back((me.seq, now, counts.clone()));
        report
    }
    fn answered(&mut self, answer: Answer, pace: &Pace, now: Duration) -> bool {
        let Some(at) = self.sent.iter().position(|(seq, ..)| *seq == answer.seq) else {
            return false;
        };
        let made = self.sent[at].1;
        let of = |seq: u32| {
            self.sent
                .iter()
                .find(|(s, ..)| *s == seq)
                .map(|(.., cells)| cells.clone())
        };
        let own = if answer.held == self.held.0 {
            Some(self.held.1.clone())
        } else {
            of(answer.held)
        };
        let same = answer.life == self.sum.life;
        if same && answer.version < self.sum.version
            || answer.base > 0 && !(same && answer.base <= self.sum.version)
        {
            return false;
        }
        self.stamp = Some((answer.stamp, now));
        let (covered, oldest) = answer.covered;
        let as_of = made.saturating_sub(pace.longer(Duration::from_millis(u64::from(oldest))));
        let mut cells = if answer.base == 0 {
            Cells::default()
        } else {
            std::mem::take(&mut self.sum.cells)
        };
        cells.set(&answer.cells);
        self.sum = Sum {
            life: answer.life,
            version: answer.version,
            cells,
            own: own.clone().unwrap_or_default(),
            as_of,
            covered,
            there: answer.there,
            tallies: answer.tallies,
        };
        self.held = own.map_or((0, Cells::default()), |cells| (answer.held, cells));
        let held = self.held.0;
        self.sent.retain(|(seq, ..)| *seq > held);
        true
    }
}

struct Me {
    name: Name,
    site: Name,
    life: u64,
    /// The last report's number. One row for all gatherers: one that is chosen again knows an earlier one.
    seq: u32,
}

/// What a node knows of the fleet's counts and finds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Gathered {
    /// What the others count, each as of a moment no earlier than `as_of`.
    pub others: Cells,
    /// See `others`; a time on this node's clock.
    pub as_of: Duration,
    /// Until when it counts.
    pub until: Duration,
    /// Nodes in it, this one among them.
    pub covered: u32,
    /// Nodes that the gatherer holds to be there: where more than are covered, some have not been counted.
    pub there: u32,
    /// Who gathered it.
    pub by: Option<Name>,
    /// Which of its sums this is: its life, and the sum's number.
    pub number: (u64, u64),
    /// What the others find of services.
    pub tallies: Vec<(u8, Tally)>,
}

impl Gathered {
    /// What the others have in flight of a key, while that is known.
    pub fn estimate(&self, key: u64, now: Duration) -> Option<u32> {
        (self.by.is_some() && now < self.until).then(|| self.others.estimate(key))
    }
    /// What the others find of a service, while that is known.
    pub fn tally(&self, service: u8, now: Duration) -> Tally {
        let of = |(s, tally): &(u8, Tally)| (*s == service).then_some(*tally);
        if now < self.until {
            self.tallies.iter().find_map(of).unwrap_or_default()
        } else {
            Tally::default()
        }
    }
}

/// What a node knows of counts and of the ledger, for people.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatheredLook {
    /// Who gathers, by its view.
    pub gatherers: Vec<Name>,
    /// Who gathered what it goes by; none while it goes by its own counts alone.
    pub by: Option<Name>,
    /// Milliseconds of the oldest count in it.
    pub age_ms: u64,
    /// Nodes in it, and nodes that the gatherer holds to be there.
    pub covered: (u32, u32),
    /// No tenant has more in flight at the other nodes.
    pub most: u32,
    /// What this node makes of the ledger, and for how many milliseconds.
    pub ledger: (Judgement, u64),
    /// Its own calls of late, and how many of them failed.
    pub calls: (u32, u32),
    /// What the others find.
    pub others: Tally,
}

/// A message to a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Said {
    /// To one that gathers.
    Report(Report),
    /// From one that gathers.
    Answer(Answer),
}

/// One node's part in gathering.
pub struct Gathering {
    pace: Pace,
    me: Me,
    members: usize,
    sources: Vec<Source>,
    gatherer: Gatherer,
    next: Duration,
    gathered: Gathered,
}

impl Gathering {
    /// A node that starts.
    pub fn new(pace: Pace, name: Name, site: Name, life: u64, now: Duration) -> Gathering {
        Gathering {
            pace,
            me: Me {
                name,
                site,
                life,
                seq: 0,
            },
            members: 1,
            sources: Vec::new(),
            gatherer: Gatherer::new(life),
            next: now,
            gathered: Gathered::default(),
        }
    }
    /// Members that report, this node among them, have changed: name and site of each. Two gather, the first by a hash of
    /// the names and the first of another site, so that views that are the same choose the same.
    pub fn members<'a>(&mut self, all: impl Iterator<Item = (&'a Name, &'a Name)>) {
        let (mut count, mut best): (usize, Vec<(u64, &Name, &Name)>) = (0, Vec::new());
        for (name, site) in all {
            count += 1;
            let new = (hash_name(name), name, site);
            // The best of each site, of which there are few.
            match best.iter_mut().find(|(_, _, of)| *of == site) {
                Some(known) => *known = new.min(*known),
                None => best.push(new),
            }
        }
        best.sort();
        self.members = count.max(1);
        let chosen: Vec<Name> = best
            .iter()
            .take(2)
            .map(|(_, name, _)| (*name).clone())
            .collect();
        self.sources.retain(|s| chosen.contains(&s.name));
        for name in chosen {
            if !self.sources.iter().any(|s| s.name == name) {
                self.sources.push(Source::new(name));
                self.next = Duration::ZERO;
            }
        }
    }
    /// What is known.
    pub fn gathered(&self) -> &Gathered {
        &self.gathered
    }
    /// Who gathers, by this node's view.
    pub fn gatherers(&self) -> impl Iterator<Item = &Name> {
        self.sources.iter().map(|s| &s.name)
    }
    /// What is reported here: the number of the sum, and whose counts are in it with a known age.
    pub fn reported(&self) -> ((u64, u64), impl Iterator<Item = &Name>) {
        (
            (self.gatherer.life, self.gatherer.version),
            self.gatherer.ages.iter().map(|(_, name)| name),
        )
    }
    /// What this node knows, for people; the judgement and the calls are the caller's.
    pub fn look(&self, now: Duration, ledger: (Judgement, u64), calls: (u32, u32)) -> GatheredLook {
        let known = &self.gathered;
        let fresh = now < known.until;
        GatheredLook {
            gatherers: self.gatherers().cloned().collect(),
            by: known.by.clone().filter(|_| fresh),
            age_ms: now.saturating_sub(known.as_of).as_millis() as u64,
            covered: (known.covered, known.there),
            most: known.others.most(),
            ledger,
            calls,
            others: known.tally(LEDGER, now),
        }
    }
    /// When [`Gathering::tick`] is due.
    pub fn next(&self) -> Duration {
        self.next
    }
    /// Bytes that gathering takes here at the most, what is reported to it included.
    pub fn bytes(&self) -> usize {
        let cells = CELLS * 4;
        let source = cells * (SENT + 3);
        self.gatherer.reporters.len() * (cells + 160) + self.sources.len() * source + CELLS * 16
    }

    /// Time has passed: this is what the node counts and finds now. `draw` is from 0 to 1.
    pub fn tick(
        &mut self,
        now: Duration,
        counts: &Cells,
        found: &[(u8, Condition)],
        draw: f64,
        out: &mut Vec<(Name, Said)>,
    ) {
        if now < self.next {
            return;
        }
        // Drawn, so that those that started in one moment don't report in one.
        self.next = now + self.pace.between(self.members).mul_f64(0.8 + 0.2 * draw);
        self.me.seq += 1;
        for at in 0..self.sources.len() {
            let source = &mut self.sources[at];
            let (to, report) = (
                source.name.clone(),
                source.report(&self.me, counts, found, now),
            );
            if to != self.me.name {
                out.push((to, Said::Report(report)));
                continue;
            }
            let answer = self
                .gatherer
                .hear(&to, report, &self.pace, self.members, now);
            answer
                .into_iter()
                .for_each(|answer| self.answered(&to, answer, now));
        }
    }
    /// A member said something.
    pub fn hear(&mut self, from: &Name, said: Said, now: Duration, out: &mut Vec<(Name, Said)>) {
        match said {
            Said::Report(report) => {
                let answer = self
                    .gatherer
                    .hear(from, report, &self.pace, self.members, now);
                out.extend(answer.map(|answer| (from.clone(), Said::Answer(answer))));
            }
            Said::Answer(answer) => self.answered(from, answer, now),
        }
    }
    fn answered(&mut self, from: &Name, answer: Answer, now: Duration) {
        let Some(source) = self.sources.iter_mut().find(|s| s.name == *from) else {
            return;
        };
        if !source.answered(answer, &self.pace, now) {
            return;
        }
        // The one that knows most, and of those the one that knows it sooner.
        let stale = self.pace.stale(self.members);
        let fresh = |s: &&Source| s.sum.covered > 0 && s.sum.as_of + stale > now;
        let best = self
            .sources
            .iter()
            .filter(fresh)
            .max_by_key(|s| (s.sum.covered, s.sum.as_of));
        let Some(Source { name, sum, .. }) = best else {
            return;
        };
        let mut others = sum.cells.clone();
        others.take(&sum.own);
        self.gathered = Gathered {
            others,
            as_of: sum.as_of,
            until: sum.as_of + stale,
            covered: sum.covered,
            there: sum.there,
            by: Some(name.clone()),
            number: (sum.life, sum.version),
            tallies: sum.tallies.clone(),
        };
    }
}
