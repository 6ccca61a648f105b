//! One node's view of its fleet.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use crate::packet::{Body, Packet, Summary};
use crate::probe::{Errand, Probe, Stage};
use crate::suspicion::Suspicion;
use crate::table::{Member, Table};
use crate::word::{
    self, accuse, give_up, hash, of_me, take, Name, OfMe, Record, Said, Standing, Take, Word,
};
use crate::{Draw, Settings};

/// What a view wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// Send this there.
    Send(SocketAddr, Packet),
    /// A member stands otherwise from now on, or is new. For logs; the view is read from [`View::members`].
    Changed(Record),
}

/// What a node concludes of itself from its view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Conclusion {
    /// It sees more than half of all that have not said goodbye.
    Whole,
    /// It sees half of them or less: it must not decide for the others.
    Part,
    /// It sees nobody, and others are known or ought to be there.
    Alone,
}

impl Conclusion {
    /// Its name in status and logs.
    pub fn name(self) -> &'static str {
        match self {
            Conclusion::Whole => "whole",
            Conclusion::Part => "part",
            Conclusion::Alone => "alone",
        }
    }
}

/// What others answer at most in one second of comparisons: what asks more often is no member of ours.
const COMPARISONS: u32 = 64;

/// See the module's head. Times count from any start that the caller keeps to; they never go back.
#[derive(Clone, Debug)]
pub struct View {
    settings: Settings,
    fleet: Name,
    /// This member's own word: the one in the table, unless another process has the name.
    me: Record,
    /// When the process that has the name now was last heard, if there is one.
    successor: Option<Duration>,
    /// Nothing is said any more.
    hushed: bool,
    seeds: Vec<SocketAddr>,
    table: Table,
    suspects: BTreeSet<Name>,
    ring: Vec<Name>,
    probe: Option<Probe>,
    errands: VecDeque<Errand>,
    seq: u32,
    health: u32,
    /// Answers in a row that told another digest.
    unequal: u32,
    next_probe: Duration,
    next_gossip: Duration,
    next_exchange: Duration,
    next_revive: Duration,
    /// Comparisons answered since the second began.
    answered: (Duration, u32),
    concluded: (Conclusion, Duration),
    met: bool,
    /// When any other member was last heard.
    heard: Duration,
    /// Something was learned since this node last asked for a comparison.
    learned: bool,
}

impl View {
    /// A member that knows itself alone. `me.word` tells its life; the rest of the word is set here.
    pub fn new(
        settings: Settings,
        fleet: Name,
        mut me: Record,
        seeds: Vec<SocketAddr>,
        now: Duration,
    ) -> View {
        me.word = Word {
            life: me.word.life,
            incarnation: 0,
            said: Said::Joining,
            standing: Standing::Present,
        };
        let mut view = View {
            settings,
            fleet,
            successor: None,
            hushed: false,
            table: Table::new(),
            suspects: BTreeSet::new(),
            ring: Vec::new(),
            probe: None,
            errands: VecDeque::new(),
            seq: 0,
            health: 0,
            unequal: 0,
            next_probe: now,
            next_gossip: now,
            next_exchange: now,
            next_revive: now,
            answered: (now, 0),
            concluded: (Conclusion::Whole, now),
            met: false,
            heard: now,
            learned: false,
            seeds: Vec::new(),
            me,
        };
        view.set_seeds(seeds);
        view.table.put(view.me.clone(), now, true);
        view.conclude(now);
        view
    }

    // ---- what can be read ----

    /// All members held, the gone among them, by name.
    pub fn members(&self) -> impl Iterator<Item = &Record> {
        self.table.all().map(|m| &m.record)
    }
    /// A member as it is held, and since when it stands so.
    pub fn member(&self, name: &str) -> Option<(&Record, Duration)> {
        self.table.get(name).map(|m| (&m.record, m.since))
    }
    /// Members that are there, this one included.
    pub fn present(&self) -> usize {
        self.table.present().len()
    }
    /// Members that are gone without having said so.
    pub fn lost(&self) -> usize {
        self.table.lost()
    }
    /// Equal where two views hold the same of the same members that are there.
    pub fn digest(&self) -> u64 {
        self.table.digest()
    }
    /// This member's own record.
    pub fn me(&self) -> &Record {
        &self.me
    }
    /// Whether another process speaks for this name.
    pub fn succeeded(&self) -> bool {
        self.successor.is_some()
    }
    /// What this node concludes of itself, and since when.
    pub fn conclusion(&self) -> (Conclusion, Duration) {
        self.concluded
    }
    /// The sites of which a member is seen.
    pub fn sites(&self) -> BTreeSet<Name> {
        self.table
            .all()
            .filter(|m| m.record.word.present())
            .map(|m| m.record.site.clone())
            .collect()
    }
    /// Points of bad health: probes that failed or were late by this node's own fault, as far as it can tell.
    pub fn health(&self) -> u32 {
        self.health
    }
    /// Bytes that a member takes in this view, about: for sizing.
    pub fn bytes_a_member() -> usize {
        // Its place in the tree with its key, and in the two lists of names.
        std::mem::size_of::<Member>() + 3 * std::mem::size_of::<Name>()
    }

    // ---- what its own process tells it ----

    /// The state of this member's process has changed.
    pub fn say(&mut self, said: Said, now: Duration) {
        if self.me.word.said != said && !self.me.word.left() {
            self.me.word.said = said;
            self.speak(now);
        }
    }
    /// Its datagrams are to go elsewhere.
    pub fn move_to(&mut self, at: SocketAddr, now: Duration) {
        if self.me.at != at {
            self.me.at = at;
            self.speak(now);
        }
    }
    /// Where its clients connect has become known.
    pub fn serve_at(&mut self, serves: Option<SocketAddr>, now: Duration) {
        if self.me.serves != serves {
            self.me.serves = serves;
            self.speak(now);
        }
    }
    fn speak(&mut self, now: Duration) {
        self.me.word.incarnation += 1;
        if self.successor.is_none() {
            self.table.put(self.me.clone(), now, true);
        }
    }
    /// Other seeds are asked from now on.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds.into_iter().filter(|at| *at != self.me.at).collect();
    }
    /// Other times and sizes hold from now on.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }
    /// The last word: it goes to several at once, as there is no later one to make good for a loss.
    pub fn leave(&mut self, now: Duration, draw: Draw, out: &mut Vec<Out>) {
        if self.successor.is_none() && !self.hushed {
            self.say(Said::Left, now);
            for to in self.some(self.settings.fanout * 2, draw, |_| true) {
                self.send(to.1, Body::Gossip, vec![], out);
            }
        }
        self.hushed = true;
    }
    /// The process ends and the name goes on with another: not a word more.
    pub fn hush(&mut self) {
        self.hushed = true;
    }

    // ---- datagrams ----

    fn send(&mut self, to: SocketAddr, body: Body, mut first: Vec<Record>, out: &mut Vec<Out>) {
        if self.hushed || self.successor.is_some() {
            return;
        }
        let fixed = 64 + self.fleet.len() + self.me.size();
        let body_size = match &body {
            Body::Compare { sums, .. } => sums.len() * 10 + 4,
            Body::Carried(bytes) => bytes.len() + 4,
            _ => 0,
        };
        let used = fixed + body_size + first.iter().map(Record::size).sum::<usize>();
        let told = self.settings.tellings(self.present());
        // The sender's own word stands in every datagram, so it needs no place among the news.
        let news = self.table.news(
            self.settings.datagram.saturating_sub(used),
            told,
            &self.me.name,
        );
        first.extend(news);
        let packet = Packet {
            fleet: self.fleet.clone(),
            from: Some(self.me.clone()),
            body,
            news: first,
        };
        out.push(Out::Send(to, packet));
    }

    /// Carries a message of what stands on the view to a member; false where none of this name is there.
    pub fn carry(&mut self, to: &str, bytes: Vec<u8>, out: &mut Vec<Out>) -> bool {
        let there = self.table.get(to).filter(|m| m.record.word.present());
        let Some(at) = there.map(|m| m.record.at) else {
            return false;
        };
        self.send(at, Body::Carried(bytes), vec![], out);
        true
    }
    /// Names of the members that are there.
    pub fn there(&self) -> &[Name] {
        self.table.present()
    }

    /// Up to `count` members that are there and fit, drawn.
    fn some(
        &self,
        count: usize,
        draw: Draw,
        fits: impl Fn(&Record) -> bool,
    ) -> Vec<(Name, SocketAddr)> {
        let present = self.table.present();
        let mut taken: Vec<(Name, SocketAddr)> = Vec::new();
        for _ in 0..count * 4 {
            if taken.len() >= count || present.is_empty() {
                break;
            }
            let name = &present[draw(present.len())];
            let Some(member) = self.table.get(name) else {
                continue;
            };
            let known = *name == self.me.name || taken.iter().any(|(n, _)| n == name);
            if !known && fits(&member.record) {
                taken.push((name.clone(), member.record.at));
            }
        }
        taken
    }

    /// A datagram came, from this address as the machine tells it.
    pub fn hear(
        &mut self,
        packet: Packet,
        source: SocketAddr,
        now: Duration,
        draw: Draw,
        out: &mut Vec<Out>,
    ) {
        let Packet {
            from, body, news, ..
        } = packet;
        let reply = from.as_ref().map_or(source, |r| r.at);
        let mut believed = true;
        let mut sender = None;
        if let Some(from) = from {
            if from.name == self.me.name {
                if from.word == self.me.word && from.at == self.me.at {
                    // Our own, sent back.
                    return;
                }
                self.of_me(&from, now, out);
            } else {
                self.learn(&from, false, now, out);
                self.heard = now;
                if let Some(held) = self.table.get_mut(&from.name) {
                    let word = held.record.word;
                    believed = word.present() && word.life == from.word.life;
                    if word.life == from.word.life {
                        held.heard = Some(now);
                    }
                    if word.rank() > from.word.rank() {
                        // It does not know what is said of it, or that its name has a later life.
                        let said = held.record.clone();
                        self.send(from.at, Body::Gossip, vec![said], out);
                    }
                }
            }
            sender = Some(from.name);
        }
        // A page is what the other has held for a while: what is new to us is not news to the fleet.
        let page = matches!(body, Body::Page);
        for record in &news {
            if record.name == self.me.name {
                self.of_me(record, now, out);
            } else if believed || record.word.standing == Standing::Present {
                self.learn(record, page, now, out);
            }
        }
        match body {
            Body::Ping { seq, name } if name == self.me.name => {
                let digest = self.digest();
                self.send(reply, Body::Ack { seq, digest }, vec![], out);
            }
            Body::Ack { seq, digest } => self.acknowledged(sender, seq, digest, now, draw, out),
            Body::Errand { seq, name, at } => self.run_errand(seq, name, at, reply, now, out),
            Body::Nack { seq } => {
                if let Some(probe) = self.probe.as_mut().filter(|p| p.seq == seq) {
                    probe.nacks += 1;
                }
            }
            Body::Compare { sums, answer } => self.compare(&sums, answer, reply, now, draw, out),
            Body::Query { seq, after } => self.answer_query(seq, &after, source, now, out),
            Body::Ping { .. }
            | Body::Gossip
            | Body::Page
            | Body::Carried(_)
            | Body::Answer { .. } => {}
        }
        self.conclude(now);
    }

    fn acknowledged(
        &mut self,
        sender: Option<Name>,
        seq: u32,
        digest: u64,
        now: Duration,
        draw: Draw,
        out: &mut Vec<Out>,
    ) {
        if let (Some(heard), Some(name)) = (self.successor.as_mut(), sender.as_ref()) {
            if *name == self.me.name {
                *heard = now;
            }
            return;
        }
        if let Some(at) = self.errands.iter().position(|e| e.seq == seq) {
            if let Some(errand) = self.errands.remove(at) {
                self.send(
                    errand.to,
                    Body::Ack {
                        seq: errand.theirs,
                        digest,
                    },
                    vec![],
                    out,
                );
            }
            return;
        }
        let Some(probe) = self.probe.as_mut().filter(|p| p.seq == seq && !p.answered) else {
            return;
        };
        (probe.answered, probe.due) = (true, Duration::MAX);
        let name = probe.name.clone();
        self.health = self.health.saturating_sub(1);
        if digest == self.digest() {
            self.unequal = 0;
            return;
        }
        // News that travels makes two views differ for a moment; what stays different was lost on its way.
        self.unequal += 1;
        if self.unequal >= 2 && now >= self.next_exchange {
            if let Some(at) = self.table.get(&name).map(|m| m.record.at) {
                self.begin_exchange(at, now, draw, out);
            }
        }
    }

    fn begin_exchange(&mut self, at: SocketAddr, now: Duration, draw: Draw, out: &mut Vec<Out>) {
        let wait = self.settings.exchange;
        if wait == Duration::MAX && self.met {
            return;
        }
        let wait = wait.min(Duration::from_secs(1));
        self.next_exchange = now + wait + wait.mul_f64(draw(256) as f64 / 512.0);
        self.learned = false;
        let sums = self.table.sums().to_vec();
        self.send(
            at,
            Body::Compare {
                sums,
                answer: false,
            },
            vec![],
            out,
        );
    }

    fn compare(
        &mut self,
        sums: &[u64],
        answer: bool,
        to: SocketAddr,
        now: Duration,
        draw: Draw,
        out: &mut Vec<Out>,
    ) {
        if now.saturating_sub(self.answered.0) >= Duration::from_secs(1) {
            self.answered = (now, 0);
        }
        self.answered.1 += 1;
        if self.answered.1 > COMPARISONS {
            return;
        }
        let records: Vec<Record> = self
            .table
            .differing(sums)
            .map(|m| m.record.clone())
            .collect();
        let room = self
            .settings
            .datagram
            .saturating_sub(64 + self.fleet.len() + self.me.size());
        // What does not fit comes another time: from where we begin is drawn.
        let from = if records.is_empty() {
            0
        } else {
            draw(records.len())
        };
        let mut page: Vec<Record> = Vec::new();
        let (mut used, mut pages) = (0, 0);
        for record in records[from..].iter().chain(&records[..from]) {
            if used + record.size() > room {
                self.send_page(to, std::mem::take(&mut page), out);
                (used, pages) = (0, pages + 1);
                if pages >= self.settings.pages {
                    break;
                }
            }
            used += record.size();
            page.push(record.clone());
        }
        if !page.is_empty() {
            self.send_page(to, page, out);
        }
        if !answer {
            let sums = self.table.sums().to_vec();
            self.send(to, Body::Compare { sums, answer: true }, vec![], out);
        } else if self.learned && self.table.sums() != sums {
            // More than fits one exchange: it goes on at once, as long as each brings something.
            self.begin_exchange(to, now, draw, out);
        }
    }
    fn send_page(&mut self, to: SocketAddr, news: Vec<Record>, out: &mut Vec<Out>) {
        if !self.hushed && self.successor.is_none() {
            let from = Some(self.me.clone());
            out.push(Out::Send(
                to,
                Packet {
                    fleet: self.fleet.clone(),
                    from,
                    body: Body::Page,
                    news,
                },
            ));
        }
    }

    fn run_errand(
        &mut self,
        theirs: u32,
        name: Name,
        at: SocketAddr,
        to: SocketAddr,
        now: Duration,
        out: &mut Vec<Out>,
    ) {
        if self.errands.len() >= self.settings.errands {
            self.errands.pop_front();
        }
        self.seq = self.seq.wrapping_add(1);
        let (seq, answer) = (self.seq, self.settings.answer);
        let errand = Errand {
            seq,
            to,
            theirs,
            nack: now + answer,
            nacked: false,
            until: now + answer * 4,
        };
        self.errands.push_back(errand);
        let held = self.accusation(&name);
        self.send(at, Body::Ping { seq, name }, held, out);
    }

    fn answer_query(
        &mut self,
        seq: u32,
        after: &str,
        to: SocketAddr,
        now: Duration,
        out: &mut Vec<Out>,
    ) {
        if self.hushed {
            return;
        }
        let mut room = self
            .settings
            .datagram
            .saturating_sub(128 + self.fleet.len() + self.me.size());
        let mut news = Vec::new();
        let mut rest = self.table.after(after).peekable();
        while let Some(member) = rest.next_if(|m| m.record.size() <= room) {
            room -= member.record.size();
            news.push(member.record.clone());
        }
        let more = rest.peek().is_some();
        let body = Body::Answer {
            seq,
            more,
            summary: self.summary(now),
        };
        out.push(Out::Send(
            to,
            Packet {
                fleet: self.fleet.clone(),
                from: Some(self.me.clone()),
                body,
                news,
            },
        ));
    }
    /// What this member tells of its view; the shell adds what it dropped.
    pub fn summary(&self, now: Duration) -> Summary {
        let (conclusion, since) = self.concluded;
        Summary {
            conclusion: conclusion.name().into(),
            for_ms: now.saturating_sub(since).as_millis() as u64,
            digest: self.digest(),
            present: self.present() as u32,
            lost: self.lost() as u32,
            health: self.health,
            dropped: 0,
        }
    }

    // ---- words ----

    /// What is held against a member, to be told to it.
    fn accusation(&self, name: &str) -> Vec<Record> {
        let held = self.table.get(name).map(|m| &m.record);
        held.filter(|r| r.word.standing != Standing::Present)
            .cloned()
            .into_iter()
            .collect()
    }

    fn of_me(&mut self, heard: &Record, now: Duration, out: &mut Vec<Out>) {
        match of_me(&self.me.word, &heard.word) {
            OfMe::Nothing => {}
            OfMe::Object(word) => {
                // Accused, so others could not hear us in time: a sign that we are slow.
                if heard.word.life == self.me.word.life && heard.word.standing != Standing::Present
                {
                    self.worse();
                }
                self.me.word = word;
                if self.successor.take().is_some() {
                    // What was heard of others meanwhile was nothing.
                    self.held_up(Duration::ZERO, now);
                    for name in &self.suspects {
                        if let Some(s) = self.table.get_mut(name).and_then(|m| m.suspicion.as_mut())
                        {
                            s.since = now;
                        }
                    }
                }
                self.hold(self.me.clone(), true, now, out);
            }
            OfMe::Succeeded => {
                if self.successor.is_none() {
                    (self.successor, self.probe) = (Some(now), None);
                }
                self.hold(heard.clone(), true, now, out);
            }
        }
    }

    fn worse(&mut self) {
        self.health = (self.health + 1).min(self.settings.health);
    }

    /// Holds a record, and what follows for suspicion and the list of probes.
    fn hold(&mut self, record: Record, news: bool, now: Duration, out: &mut Vec<Out>) {
        let name = record.name.clone();
        let before = self.table.get(&name).map(|m| m.record.word);
        let (is, by) = (record.word, record.by);
        out.push(Out::Changed(record.clone()));
        self.learned = true;
        self.table.put(record, now, news);
        self.met |= name != self.me.name;
        if is.standing == Standing::Suspected {
            let members = self.present();
            let least = self.settings.least_suspicion(members);
            // In a small fleet there may be nobody else to share it: an even split leaves so many on each side.
            let wanted = self
                .settings
                .accusers
                .min((members / 2).saturating_sub(1) as u32);
            let most = least.mul_f64(self.settings.suspicion_most);
            if let Some(member) = self.table.get_mut(&name) {
                member.suspicion = Some(Box::new(Suspicion::new(now, least, most, wanted, by)));
            }
            self.suspects.insert(name);
        } else {
            self.suspects.remove(&name);
            if is.present() && !before.is_some_and(|w| w.present()) {
                // A newcomer is probed within this round, at a place of the round that differs from member to member.
                let place = (hash(&name) ^ hash(&self.me.name)) as usize % (self.ring.len() + 1);
                self.ring.push(name);
                let last = self.ring.len() - 1;
                self.ring.swap(place, last);
            }
        }
    }

    /// A word on another member was heard.
    fn learn(&mut self, record: &Record, page: bool, now: Duration, out: &mut Vec<Out>) {
        let held = self.table.get(&record.name).map(|m| m.record.word);
        match take(held.as_ref(), &record.word) {
            Take::Nothing => {
                // Who has given it up shares the suspicion as well as who suspects it.
                let of = |word: &Word| (word.life, word.incarnation);
                let same = held.is_some_and(|held| of(&held) == of(&record.word));
                if same && record.word.standing != Standing::Present {
                    self.share(&record.name.clone(), record.by);
                }
            }
            Take::Held => {
                if held.is_none() && self.table.len() >= self.settings.members {
                    return;
                }
                let news = held.is_some() || !page && record.word.present();
                self.hold(record.clone(), news, now, out);
            }
            Take::Suspect => {
                let word = Word {
                    standing: Standing::Suspected,
                    ..record.word
                };
                self.hold(
                    Record {
                        word,
                        ..record.clone()
                    },
                    true,
                    now,
                    out,
                );
            }
        }
    }

    /// Another member shares a suspicion: it shortens, and who else does not know of it hears so.
    fn share(&mut self, name: &Name, by: u32) {
        let Some(member) = self.table.get_mut(name) else {
            return;
        };
        if member.suspicion.as_mut().is_some_and(|s| s.shared(by)) {
            member.record.by = by;
            self.table.tell(name);
        }
    }

    /// After so long without a word from anybody a node is alone. Each member is probed by another about once a period.
    fn patience(&self) -> Duration {
        self.settings.least_suspicion(self.present()) + self.settings.period * 2
    }
    fn conclude(&mut self, now: Duration) {
        let (present, lost) = (self.present(), self.lost());
        let conclusion = match () {
            // Whoever else is there, none of them is heard: that is known long before each has been given up.
            () if present > 1 && now >= self.heard + self.patience() => Conclusion::Alone,
            () if present <= 1 && (lost > 0 || !self.met && !self.seeds.is_empty()) => {
                Conclusion::Alone
            }
            () if present > lost => Conclusion::Whole,
            () => Conclusion::Part,
        };
        if conclusion != self.concluded.0 {
            self.concluded = (conclusion, now);
        }
    }

    // ---- time ----

    /// When [`View::tick`] is to be called at the latest.
    pub fn next(&self) -> Duration {
        if self.hushed {
            return Duration::MAX;
        }
        if self.successor.is_some() {
            return self.next_probe;
        }
        let mut next = self
            .probe
            .as_ref()
            .map_or(self.next_probe, |p| p.due.min(self.next_probe));
        next = next.min(self.next_revive);
        if self.present() > 1 && self.concluded.0 != Conclusion::Alone {
            next = next.min(self.heard + self.patience());
        }
        if self.table.has_news() {
            next = next.min(self.next_gossip);
        }
        for errand in &self.errands {
            next = next.min(if errand.nacked {
                errand.until
            } else {
                errand.nack
            });
        }
        let suspicions = self
            .suspects
            .iter()
            .filter_map(|name| self.table.get(name)?.suspicion.as_ref());
        suspicions.map(|s| s.ends()).fold(next, Duration::min)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Duration, draw: Draw, out: &mut Vec<Out>) {
        if self.hushed {
            return;
        }
        // Probes are always due at some time; other things may have been overdue before there was anything to do.
        let due = self
            .probe
            .as_ref()
            .map_or(self.next_probe, |p| p.due.min(self.next_probe));
        let late = now.saturating_sub(due);
        if late > self.settings.answer {
            self.held_up(late, now);
        }
        if let Some(heard) = self.successor {
            self.watch_successor(heard, now, out);
            return;
        }
        self.tick_errands(now, out);
        self.tick_probe(now, draw, out);
        self.tick_suspicions(now, out);
        if now >= self.next_gossip && self.table.has_news() {
            self.next_gossip = now + self.settings.gossip;
            for (_, at) in self.some(self.settings.fanout, draw, |_| true) {
                self.send(at, Body::Gossip, vec![], out);
            }
            if self.present() <= 1 {
                // Nobody is there to hear it; who comes compares views.
                self.table.news(usize::MAX, 1, "");
            }
        }
        if now >= self.next_revive {
            self.tick_revive(now, draw, out);
        }
        self.conclude(now);
    }

    /// This node did nothing for a while: what it did not hear meanwhile is held against nobody.
    fn held_up(&mut self, late: Duration, now: Duration) {
        self.probe = None;
        self.next_probe = self.next_probe.max(now);
        self.heard += late;
        self.errands.clear();
        for name in &self.suspects {
            if let Some(suspicion) = self.table.get_mut(name).and_then(|m| m.suspicion.as_mut()) {
                suspicion.wait(late);
            }
        }
        self.worse();
    }

    /// The process that has the name now is asked after by this one alone. Is it gone without a word, the name is ours.
    fn watch_successor(&mut self, heard: Duration, now: Duration, out: &mut Vec<Out>) {
        if now < self.next_probe {
            return;
        }
        self.next_probe = now + self.settings.period;
        self.next_revive = self.next_probe;
        self.next_gossip = self.next_probe;
        let Some(successor) = self.table.get(&self.me.name).map(|m| m.record.clone()) else {
            return;
        };
        let patience = self.settings.least_suspicion(self.present());
        if now.saturating_sub(heard) >= patience {
            let gone = Record {
                word: Word {
                    standing: Standing::Gone,
                    ..successor.word
                },
                ..successor
            };
            return self.of_me(&gone, now, out);
        }
        self.seq = self.seq.wrapping_add(1);
        let body = Body::Ping {
            seq: self.seq,
            name: self.me.name.clone(),
        };
        out.push(Out::Send(
            successor.at,
            Packet {
                fleet: self.fleet.clone(),
                from: Some(self.me.clone()),
                body,
                news: vec![],
            },
        ));
    }

    fn tick_errands(&mut self, now: Duration, out: &mut Vec<Out>) {
        self.errands.retain(|e| e.until > now);
        let due: Vec<(SocketAddr, u32)> = self
            .errands
            .iter_mut()
            .filter(|e| !e.nacked && e.nack <= now)
            .map(|e| {
                e.nacked = true;
                (e.to, e.theirs)
            })
            .collect();
        for (to, seq) in due {
            self.send(to, Body::Nack { seq }, vec![], out);
        }
    }

    fn tick_probe(&mut self, now: Duration, draw: Draw, out: &mut Vec<Out>) {
        let longer = 1 + self.health;
        if now >= self.next_probe {
            if let Some(probe) = self.probe.take() {
                self.judge(&probe, now, out);
            }
            self.next_probe = now + self.settings.period * (1 + self.health);
            self.start_probe(now, draw, out);
            return;
        }
        let Some(mut probe) = self.probe.take() else {
            return;
        };
        if probe.due <= now && !probe.answered {
            let Some(at) = self.table.get(&probe.name).map(|m| m.record.at) else {
                return;
            };
            let held = self.accusation(&probe.name);
            let ping = Body::Ping {
                seq: probe.seq,
                name: probe.name.clone(),
            };
            self.send(at, ping, held, out);
            probe.due = now + self.settings.answer * longer;
            match probe.stage {
                Stage::Asked => probe.stage = Stage::Again,
                Stage::Again => {
                    let relays = self.relays(&probe.name, draw);
                    probe.relays = relays.len();
                    for relay in relays {
                        let body = Body::Errand {
                            seq: probe.seq,
                            name: probe.name.clone(),
                            at,
                        };
                        self.send(relay, body, vec![], out);
                    }
                    probe.stage = Stage::Relayed;
                    probe.due = Duration::MAX;
                }
                Stage::Relayed => {}
            }
        }
        self.probe = Some(probe);
    }

    fn start_probe(&mut self, now: Duration, draw: Draw, out: &mut Vec<Out>) {
        while let Some(name) = self.ring.pop() {
            let there = self
                .table
                .get(&name)
                .filter(|m| m.record.word.present() && name != self.me.name);
            let Some(at) = there.map(|m| m.record.at) else {
                continue;
            };
            self.seq = self.seq.wrapping_add(1);
            let due = now + self.settings.answer * (1 + self.health);
            let held = self.accusation(&name);
            self.probe = Some(Probe {
                name: name.clone(),
                seq: self.seq,
                started: now,
                stage: Stage::Asked,
                due,
                relays: 0,
                nacks: 0,
                answered: false,
            });
            self.send(
                at,
                Body::Ping {
                    seq: self.seq,
                    name,
                },
                held,
                out,
            );
            break;
        }
        if self.ring.is_empty() {
            self.ring = self.table.present().to_vec();
            for i in (1..self.ring.len()).rev() {
                self.ring.swap(i, draw(i + 1));
            }
        }
    }

    /// Relays for a probe, of as many other sites as can be had: what cuts this one off may not cut them off.
    fn relays(&self, target: &Name, draw: Draw) -> Vec<SocketAddr> {
        let count = self.settings.relays;
        let fits = |r: &Record| r.name != *target && r.word.standing == Standing::Present;
        let mut left = self.some(count * 4, draw, fits);
        let mut sites = BTreeSet::from([self.me.site.clone()]);
        let mut chosen = Vec::new();
        for fresh in [true, false] {
            left.retain(|(name, at)| {
                let site = self
                    .table
                    .get(name)
                    .map(|m| m.record.site.clone())
                    .unwrap_or_default();
                if chosen.len() < count && (!fresh || sites.insert(site)) {
                    chosen.push(*at);
                    return false;
                }
                true
            });
        }
        chosen
    }

    /// The period of a probe is over.
    fn judge(&mut self, probe: &Probe, now: Duration, out: &mut Vec<Out>) {
        let Some(member) = self.table.get(&probe.name) else {
            return;
        };
        // Whatever came from it directly, it lives; then the way there is at fault, and others will find out.
        if probe.answered || member.heard.is_some_and(|heard| heard >= probe.started) {
            return;
        }
        let record = member.record.clone();
        // Most relays did not even say that they have no answer: the fault may be here. One of them may be gone itself.
        if probe.nacks * 2 < probe.relays {
            self.worse();
        }
        let by = self.mark();
        match accuse(&record.word) {
            Some(word) => self.hold(Record { word, by, ..record }, true, now, out),
            None => self.share(&probe.name, by),
        }
    }
    /// This member as an accuser.
    fn mark(&self) -> u32 {
        (hash(&self.me.name) as u32).max(1)
    }

    fn tick_suspicions(&mut self, now: Duration, out: &mut Vec<Out>) {
        let over: Vec<Record> = self
            .suspects
            .iter()
            .filter_map(|name| self.table.get(name))
            .filter(|m| m.suspicion.as_ref().is_none_or(|s| s.ends() <= now))
            .map(|m| m.record.clone())
            .collect();
        for record in over {
            match give_up(&record.word) {
                // Each gives up by its own count, in which this one counts as an accuser.
                Some(word) => {
                    let by = self.mark();
                    self.hold(Record { word, by, ..record }, true, now, out);
                }
                None => drop(self.suspects.remove(&record.name)),
            }
        }
    }

    /// Asks after one that is gone, or one seed that is no member. A node that has met nobody asks more often.
    fn tick_revive(&mut self, now: Duration, draw: Draw, out: &mut Vec<Out>) {
        self.table
            .forget(now, self.settings.forget, self.settings.tombstones);
        let alone = self.present() <= 1;
        let wait = if alone {
            self.settings.exchange.min(Duration::from_millis(500))
        } else {
            self.settings.revive.min(Duration::from_secs(3600))
        };
        self.next_revive = now + wait.mul_f64(0.75 + draw(256) as f64 / 512.0);
        if self.settings.revive == Duration::MAX && self.met {
            return;
        }
        if self.table.lost() > 0 {
            let gone: Vec<&Member> = self
                .table
                .all()
                .filter(|m| !m.record.word.present() && !m.record.word.left())
                .collect();
            let record = gone[draw(gone.len())].record.clone();
            self.seq = self.seq.wrapping_add(1);
            let body = Body::Ping {
                seq: self.seq,
                name: record.name.clone(),
            };
            self.send(record.at, body, vec![record], out);
        }
        let there: BTreeSet<SocketAddr> = self
            .table
            .all()
            .filter(|m| m.record.word.present())
            .map(|m| m.record.at)
            .collect();
        let unmet: Vec<SocketAddr> = self
            .seeds
            .iter()
            .filter(|at| !there.contains(at))
            .copied()
            .collect();
        if !unmet.is_empty() {
            let at = unmet[draw(unmet.len())];
            let sums = self.table.sums().to_vec();
            self.send(
                at,
                Body::Compare {
                    sums,
                    answer: false,
                },
                vec![],
                out,
            );
        }
    }

    /// What the member of this name says, where it is known.
    pub fn said(&self, name: &str) -> Option<word::Said> {
        self.table.said(name)
    }
}
