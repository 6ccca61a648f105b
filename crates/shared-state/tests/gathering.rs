//! Gathering, judging and the sketch, by their faces: what drawn plays meet too seldom.

use std::time::Duration;

use membership::Name;
use shared_state::evidence::Found;
use shared_state::{
    judge, Cells, Condition, Gathering, Judge, Judgement, Live, Pace, Said, Tally, Window, LEDGER,
};
use Condition::{Failing, Slow, Sound};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
fn name(n: u64) -> Name {
    format!("n{n}").as_str().into()
}

/// Two nodes of which the one reports to the other.
struct Pair {
    gatherer: Gathering,
    reporter: Gathering,
    names: (Name, Name),
}
impl Pair {
    fn new() -> Pair {
        // Of two names at one site one is chosen; which, the machine says itself.
        let mut one = Gathering::new(Pace::default(), name(0), "a".into(), 1, ms(0));
        let all = [(name(0), Name::from("a")), (name(1), "a".into())];
        one.members(all.iter().map(|(n, s)| (n, s)));
        let chosen = one.gatherers().next().cloned().expect("one gathers");
        let other = if chosen == name(0) { name(1) } else { name(0) };
        let of = |name: &Name, life| {
            let mut node = Gathering::new(Pace::default(), name.clone(), "a".into(), life, ms(0));
            node.members(all.iter().map(|(n, s)| (n, s)));
            node
        };
        Pair {
            gatherer: of(&chosen, 10),
            reporter: of(&other, 20),
            names: (chosen, other),
        }
    }
    fn members(&mut self, both: bool) {
        let all = [self.names.1.clone(), self.names.0.clone()];
        let site: Name = "a".into();
        let all = all.iter().take(if both { 2 } else { 1 });
        self.reporter.members(all.map(|n| (n, &site)));
    }
    fn report(&mut self, now: Duration, count: u32) -> Option<Said> {
        let live = Live::default();
        (0..count).for_each(|_| live.enters(7));
        let mut out = Vec::new();
        self.reporter
            .tick(now, &live.now(), &[(LEDGER, Sound)], 0.5, &mut out);
        out.pop()
            .filter(|(to, _)| *to == self.names.0)
            .map(|(_, said)| said)
    }
    /// The gatherer's answer, by its own clock.
    fn heard(&mut self, report: Said, now: Duration) -> Option<Said> {
        let mut out = Vec::new();
        self.gatherer.hear(&self.names.1, report, now, &mut out);
        out.pop().map(|(_, said)| said)
    }
    fn answered(&mut self, answer: Said, now: Duration) {
        self.reporter
            .hear(&self.names.0, answer, now, &mut Vec::new());
    }
    fn covered(&self) -> u32 {
        self.reporter.gathered().covered
    }
}

/// Guards the age: an answer that comes late, to a report of before the gatherer was passed over and chosen again, is not
/// taken for one to a report of now.
#[test]
fn a_late_answer_is_not_taken_for_one_to_a_later_report() {
    let mut pair = Pair::new();
    let first = pair.report(ms(0), 3).expect("a report");
    let late = pair.heard(first, ms(0)).expect("an answer");
    pair.members(false);
    pair.members(true);
    let Some(Said::Report(again)) = pair.report(ms(900), 3) else {
        panic!("a report")
    };
    assert!(again.seq > 1 && again.base == 0);
    pair.answered(late, ms(950));
    assert_eq!(
        pair.reporter.gathered().by,
        None,
        "it says nothing of 900 ms"
    );
}

/// Guards the age: what a report echoes of an earlier life of the gatherer's was told by another clock.
#[test]
fn a_stamp_of_the_gatherers_earlier_life_gives_no_age() {
    let mut pair = Pair::new();
    // Three rounds, by a clock that is far ahead.
    for round in 0..3 {
        let report = pair.report(ms(300 * round), 3).expect("a report");
        let answer = pair
            .heard(report, ms(100_000 + 300 * round))
            .expect("an answer");
        pair.answered(answer, ms(300 * round + 1));
    }
    assert_eq!(pair.covered(), 1);
    // It restarts, and so much goes unanswered that the reporter tells all of its counts anew, with the old stamp.
    let mut last = None;
    for round in 3..13 {
        last = pair.report(ms(300 * round), 3);
    }
    let Some(Said::Report(full)) = last else {
        panic!("a report")
    };
    assert!(full.base == 0 && full.echo.is_some());
    pair.gatherer = Gathering::new(Pace::default(), pair.names.0.clone(), "a".into(), 11, ms(0));
    let Some(Said::Answer(answer)) = pair.heard(Said::Report(full), ms(5)) else {
        panic!("an answer")
    };
    assert_eq!(
        (answer.held > 0, answer.covered.0),
        (true, 0),
        "counted, at an age that is not known"
    );
}

/// Guards the changes: a cell that is back at what the last acknowledged report said is told all the same, since what was
/// said in between may be what the gatherer holds.
#[test]
fn a_count_that_went_and_came_back_is_told() {
    let mut pair = Pair::new();
    for (round, count) in [(0, 3), (1, 3), (2, 5), (3, 3)] {
        let report = pair.report(ms(300 * round), count).expect("a report");
        let answer = pair.heard(report, ms(300 * round)).expect("an answer");
        // The answer to the third is lost.
        if round != 2 {
            pair.answered(answer, ms(300 * round + 1));
        }
    }
    let live = Live::default();
    let mut out = Vec::new();
    pair.gatherer
        .tick(ms(1000), &live.now(), &[], 0.5, &mut out);
    assert_eq!(pair.gatherer.gathered().estimate(7, ms(1000)), Some(3));
}

/// Guards against reports that are garbled or late: an earlier one, and one of an earlier life, change nothing.
#[test]
fn an_earlier_report_changes_nothing() {
    let mut pair = Pair::new();
    let old = pair.report(ms(0), 9).expect("a report");
    let new = pair.report(ms(300), 2).expect("a report");
    assert!(pair.heard(new, ms(300)).is_some());
    assert!(pair.heard(old.clone(), ms(400)).is_none(), "late");
    let Said::Report(mut of_before) = old else {
        panic!("a report")
    };
    (of_before.life, of_before.seq) = (19, 99);
    assert!(
        pair.heard(Said::Report(of_before), ms(500)).is_none(),
        "of an earlier life"
    );
    // Its own second report is the first of known age.
    for now in [600, 900] {
        pair.gatherer
            .tick(ms(now), &Cells::default(), &[], 0.5, &mut Vec::new());
    }
    assert_eq!(pair.gatherer.gathered().estimate(7, ms(900)), Some(2));
}

fn tally(here: [u32; 3], sites: &[[u32; 3]]) -> Tally {
    let found = |[sound, slow, failing]: [u32; 3]| Found {
        sound,
        slow,
        failing,
    };
    Tally::of(found(here), sites.iter().map(|s| found(*s)))
}

/// Guards the verdicts: neither one node nor one site can say for all that the ledger is down, and what succeeds here is not
/// down here.
#[test]
fn neither_one_node_nor_one_site_speaks_for_all() {
    let fine = tally([3, 0, 0], &[[4, 0, 0], [4, 0, 0]]);
    assert_eq!(judge(Some(Failing), &fine, 3), Judgement::OnlyHere);
    let site = tally([0, 0, 3], &[[4, 0, 0], [4, 0, 0]]);
    assert_eq!(
        judge(Some(Failing), &site, 3),
        Judgement::OnlyHere,
        "its site's path"
    );
    assert_eq!(
        judge(None, &site, 3),
        Judgement::Sound,
        "nobody else holds back"
    );
    assert_eq!(
        judge(Some(Failing), &tally([0, 0, 9], &[]), 3),
        Judgement::Unsure,
        "no other site tried"
    );
    assert_eq!(
        judge(Some(Failing), &tally([0, 0, 0], &[]), 1),
        Judgement::Unsure,
        "one node of one site"
    );
    assert_eq!(
        judge(Some(Failing), &tally([0, 0, 1], &[]), 1),
        Judgement::Down,
        "two nodes of the only site"
    );
    let down = tally([0, 0, 2], &[[0, 0, 4], [1, 0, 3]]);
    assert_eq!(judge(Some(Failing), &down, 3), Judgement::Down);
    assert_eq!(judge(None, &down, 3), Judgement::Down);
    assert_eq!(judge(Some(Sound), &down, 3), Judgement::Sound);
    // Nine of one site fail, six of two others don't: most, but of one site.
    assert_eq!(
        judge(None, &tally([2, 0, 0], &[[0, 0, 9], [2, 0, 0]]), 3),
        Judgement::Sound
    );
    assert_eq!(
        judge(Some(Slow), &tally([0, 1, 0], &[[0, 2, 0]]), 3),
        Judgement::Slow
    );
    assert_eq!(judge(None, &Tally::default(), 3), Judgement::Unknown);
}

/// Guards against flapping: what is found for a moment is not said; each turn for the worse within a minute doubles the wait
/// for the better; and only here is not said on what others found before this node failed.
#[test]
fn a_judgement_that_flaps_is_damped() {
    let mut judge = Judge::default();
    judge.look(ms(0), Judgement::Sound, ms(0));
    assert_eq!(
        judge.look(ms(100), Judgement::Down, ms(100)),
        Judgement::Sound
    );
    assert_eq!(
        judge.look(ms(350), Judgement::Sound, ms(350)),
        Judgement::Sound
    );
    let mut now = 1000;
    let mut waits = Vec::new();
    for _ in 0..6 {
        judge.look(ms(now), Judgement::Down, ms(now));
        assert_eq!(
            judge.look(ms(now + 300), Judgement::Down, ms(now)),
            Judgement::Down
        );
        now += 400;
        let since = now;
        while judge.look(ms(now), Judgement::Sound, ms(now)) == Judgement::Down {
            now += 100;
        }
        waits.push(now - since);
    }
    assert_eq!(waits, [1000, 2000, 4000, 8000, 16_000, 16_000]);
    now += 61_000;
    judge.look(ms(now), Judgement::OnlyHere, ms(now - 1000));
    assert_eq!(
        judge.look(ms(now + 900), Judgement::OnlyHere, ms(now + 400)),
        Judgement::Sound
    );
    assert_eq!(
        judge.look(ms(now + 950), Judgement::OnlyHere, ms(now + 500)),
        Judgement::OnlyHere
    );
}

/// Guards the evidence: a few attempts say nothing, half of them failing says failing, and what was tried long ago is over.
#[test]
fn attempts_tell_a_condition_for_two_seconds() {
    let mut window = Window::default();
    window.ended(ms(0), Some(ms(10)));
    window.ended(ms(10), None);
    assert_eq!(window.condition(ms(20)), None);
    window.ended(ms(20), Some(ms(10)));
    assert_eq!(window.condition(ms(30)), Some(Sound));
    window.ended(ms(40), None);
    assert_eq!(window.condition(ms(50)), Some(Failing));
    (0..8).for_each(|n| window.ended(ms(1000 + n), Some(ms(90))));
    assert_eq!(window.condition(ms(1100)), Some(Slow));
    assert_eq!(window.condition(ms(4000)), None);
}
