//! Aggregation by its public interface: sequences of messages that random simulations reach too rarely.

use std::time::Duration;

use membership::Name;
use shared_state::{
    AggregationMessage, AggregationNode, AtomicSketchCounters, ObservedHealth, Outgoing,
    ReportingMember, ReportingSettings, ServiceObservation, SketchCounters, LEDGER,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn name(n: u64) -> Name {
    format!("n{n}").as_str().into()
}

fn start(name: &Name, incarnation: u64) -> AggregationNode {
    let settings = ReportingSettings::default();
    AggregationNode::new(settings, name.clone(), "a".into(), incarnation, ms(0))
}

/// Two nodes of one site, of which one reports to the other.
struct Pair {
    aggregator: AggregationNode,
    reporter: AggregationNode,
    aggregator_name: Name,
    reporter_name: Name,
}

impl Pair {
    fn new() -> Pair {
        // The node selects one of the two names itself.
        let names = [name(0), name(1)];
        let site = Name::from("a");
        let mut first = start(&names[0], 1);
        first.set_members(
            names
                .iter()
                .map(|name| ReportingMember { name, site: &site }),
        );
        let aggregator_name = first.aggregators().next().cloned().expect("an aggregator");
        let reporter_name = if aggregator_name == names[0] {
            names[1].clone()
        } else {
            names[0].clone()
        };
        let mut aggregator = start(&aggregator_name, 10);
        aggregator.set_members(
            names
                .iter()
                .map(|name| ReportingMember { name, site: &site }),
        );
        let mut reporter = start(&reporter_name, 20);
        reporter.set_members(
            names
                .iter()
                .map(|name| ReportingMember { name, site: &site }),
        );
        Pair {
            aggregator,
            reporter,
            aggregator_name,
            reporter_name,
        }
    }

    /// Sets the reporter's view to itself alone or to both.
    fn set_reporters_view(&mut self, has_both: bool) {
        let names = [self.reporter_name.clone(), self.aggregator_name.clone()];
        let site: Name = "a".into();
        let members = names.iter().take(if has_both { 2 } else { 1 });
        self.reporter
            .set_members(members.map(|name| ReportingMember { name, site: &site }));
    }

    /// The reporter's next report to the aggregator, with this many requests in flight of one key.
    fn report(&mut self, now: Duration, count: u32) -> Option<AggregationMessage> {
        let counters = AtomicSketchCounters::default();
        for _ in 0..count {
            counters.increment(7);
        }
        let observation = ServiceObservation {
            service: LEDGER,
            health: ObservedHealth::Sound,
        };
        let mut out = Vec::new();
        self.reporter
            .handle_timeout(now, &counters.load(), &[observation], 0.5, &mut out);
        out.pop()
            .filter(|outgoing| outgoing.to == self.aggregator_name)
            .map(|outgoing| outgoing.message)
    }

    /// The aggregator's reply, at a time of its own clock.
    fn reply(&mut self, report: AggregationMessage, now: Duration) -> Option<AggregationMessage> {
        let mut out: Vec<Outgoing<AggregationMessage>> = Vec::new();
        self.aggregator
            .handle_message(&self.reporter_name, report, now, &mut out);
        out.pop().map(|outgoing| outgoing.message)
    }

    fn deliver_reply(&mut self, reply: AggregationMessage, now: Duration) {
        self.reporter
            .handle_message(&self.aggregator_name, reply, now, &mut Vec::new());
    }

    /// Requests in flight of the key, as the aggregator counts them for the others.
    fn aggregated(&self, now: Duration) -> Option<u32> {
        self.aggregator.aggregate().estimate(7, now)
    }
}

/// A wrong age would follow if a late reply, to a report made before the aggregator was deselected and selected again, counted
/// as a reply to a later report.
#[test]
fn late_reply_does_not_count_for_a_later_report() {
    let mut pair = Pair::new();
    let first = pair.report(ms(0), 3).expect("a report");
    let late = pair.reply(first, ms(0)).expect("a reply");
    pair.set_reporters_view(false);
    pair.set_reporters_view(true);
    let Some(AggregationMessage::Report(again)) = pair.report(ms(900), 3) else {
        panic!("a report")
    };
    assert!(again.seq > 1 && again.base_seq == 0);
    pair.deliver_reply(late, ms(950));
    assert_eq!(
        pair.reporter.aggregate().aggregator,
        None,
        "it says nothing of 900 ms"
    );
}

/// A wrong age would follow if a stamp of the aggregator's earlier incarnation, which had another clock, were used.
#[test]
fn stamp_of_the_aggregators_earlier_incarnation_gives_no_age() {
    let mut pair = Pair::new();
    // Three rounds, by an aggregator's clock that is far ahead.
    for round in 0..3 {
        let report = pair.report(ms(300 * round), 3).expect("a report");
        let reply = pair
            .reply(report, ms(100_000 + 300 * round))
            .expect("a reply");
        pair.deliver_reply(reply, ms(300 * round + 1));
    }
    assert_eq!(pair.reporter.aggregate().covered_nodes, 1);
    // It restarts, and so many reports have no reply that the reporter sends a full one, with the old stamp.
    let mut last = None;
    for round in 3..13 {
        last = pair.report(ms(300 * round), 3);
    }
    let Some(AggregationMessage::Report(full)) = last else {
        panic!("a report")
    };
    assert!(full.base_seq == 0 && full.echo.is_some());
    pair.aggregator = start(&pair.aggregator_name, 11);
    let Some(AggregationMessage::Reply(reply)) =
        pair.reply(AggregationMessage::Report(full), ms(5))
    else {
        panic!("a reply")
    };
    assert_eq!(
        (reply.held_seq > 0, reply.coverage.nodes),
        (true, 0),
        "counted, at an unknown age"
    );
}

/// A counter that is back at its value in the last acknowledged report has to be sent again, because the aggregator may hold
/// a report from in between.
#[test]
fn counter_that_changed_and_changed_back_is_reported() {
    let mut pair = Pair::new();
    for (round, count) in [(0, 3), (1, 3), (2, 5), (3, 3)] {
        let report = pair.report(ms(300 * round), count).expect("a report");
        let reply = pair.reply(report, ms(300 * round)).expect("a reply");
        // The reply to the third is lost.
        if round != 2 {
            pair.deliver_reply(reply, ms(300 * round + 1));
        }
    }
    let none = SketchCounters::default();
    pair.aggregator
        .handle_timeout(ms(1000), &none, &[], 0.5, &mut Vec::new());
    assert_eq!(pair.aggregated(ms(1000)), Some(3));
}

/// A late report, and one of an earlier incarnation, must change nothing.
#[test]
fn outdated_report_changes_nothing() {
    let mut pair = Pair::new();
    let old = pair.report(ms(0), 9).expect("a report");
    let new = pair.report(ms(300), 2).expect("a report");
    assert!(pair.reply(new, ms(300)).is_some());
    assert!(pair.reply(old.clone(), ms(400)).is_none(), "late");
    let AggregationMessage::Report(mut earlier) = old else {
        panic!("a report")
    };
    (earlier.incarnation, earlier.seq) = (19, 99);
    assert!(
        pair.reply(AggregationMessage::Report(earlier), ms(500))
            .is_none(),
        "of an earlier incarnation"
    );
    // The aggregator's own second report is the first with a known age.
    for now in [600, 900] {
        let none = SketchCounters::default();
        pair.aggregator
            .handle_timeout(ms(now), &none, &[], 0.5, &mut Vec::new());
    }
    assert_eq!(pair.aggregated(ms(900)), Some(2));
}
