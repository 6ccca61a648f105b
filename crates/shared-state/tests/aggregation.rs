//! Tests of aggregation through its public interface, with sequences of messages that random
//! simulations reach too rarely.

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

/// Two nodes of one site. One of them reports to the other.
struct ReportingPair {
    aggregator: AggregationNode,
    reporter: AggregationNode,
    aggregator_name: Name,
    reporter_name: Name,
}

impl ReportingPair {
    fn new() -> ReportingPair {
        // The first node selects one of the two names as its aggregator.
        let names = [name(0), name(1)];
        let site = Name::from("a");
        let mut first = start(&names[0], 1);
        first.set_members(
            names
                .iter()
                .map(|name| ReportingMember { name, site: &site }),
        );
        let aggregator_name = first
            .aggregators()
            .next()
            .cloned()
            .expect("an aggregator is selected");
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
        ReportingPair {
            aggregator,
            reporter,
            aggregator_name,
            reporter_name,
        }
    }

    /// Sets the members that the reporter knows: itself and, if `knows_aggregator`, the aggregator.
    fn set_reporter_members(&mut self, knows_aggregator: bool) {
        let names = [self.reporter_name.clone(), self.aggregator_name.clone()];
        let site: Name = "a".into();
        let members = names.iter().take(if knows_aggregator { 2 } else { 1 });
        self.reporter
            .set_members(members.map(|name| ReportingMember { name, site: &site }));
    }

    /// Returns the reporter's next report to the aggregator, with `count` requests in flight of one
    /// key.
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

    /// Returns the aggregator's reply. `now` is a time on the aggregator's clock.
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

    /// Returns the aggregator's estimate of the key's requests in flight at the other nodes.
    fn aggregated_count(&self, now: Duration) -> Option<u32> {
        self.aggregator.aggregate().estimate(7, now)
    }
}

/// A reply to a report that was made before the aggregator was deselected and selected again must
/// not count as a reply to a later report. Otherwise the sum's age would be wrong.
#[test]
fn late_reply_does_not_count_for_a_later_report() {
    let mut pair = ReportingPair::new();
    let first = pair.report(ms(0), 3).expect("a report to the aggregator");
    let late = pair.reply(first, ms(0)).expect("a reply of the aggregator");
    pair.set_reporter_members(false);
    pair.set_reporter_members(true);
    let Some(AggregationMessage::Report(again)) = pair.report(ms(900), 3) else {
        panic!("expected a report")
    };
    assert!(again.seq > 1 && again.base_seq == 0);
    pair.deliver_reply(late, ms(950));
    assert_eq!(
        pair.reporter.aggregate().aggregator,
        None,
        "a reply to an earlier report gives no age at 900 ms"
    );
}

/// A stamp of the aggregator's earlier incarnation, which had another clock, must not be used.
/// Otherwise the sum's age would be wrong.
#[test]
fn stamp_of_the_aggregators_earlier_incarnation_gives_no_age() {
    let mut pair = ReportingPair::new();
    // Three rounds with an aggregator whose clock is far ahead.
    for round in 0..3 {
        let report = pair
            .report(ms(300 * round), 3)
            .expect("a report to the aggregator");
        let reply = pair
            .reply(report, ms(100_000 + 300 * round))
            .expect("a reply of the aggregator");
        pair.deliver_reply(reply, ms(300 * round + 1));
    }
    assert_eq!(pair.reporter.aggregate().covered_nodes, 1);
    // The aggregator restarts. So many reports stay unanswered that the reporter sends a full one,
    // with the old stamp.
    let mut last = None;
    for round in 3..13 {
        last = pair.report(ms(300 * round), 3);
    }
    let Some(AggregationMessage::Report(full)) = last else {
        panic!("expected a report")
    };
    assert!(full.base_seq == 0 && full.echo.is_some());
    pair.aggregator = start(&pair.aggregator_name, 11);
    let Some(AggregationMessage::Reply(reply)) =
        pair.reply(AggregationMessage::Report(full), ms(5))
    else {
        panic!("expected a reply")
    };
    assert_eq!(
        (reply.held_seq > 0, reply.coverage.nodes),
        (true, 0),
        "the report is in the sum, but its age is unknown"
    );
}

/// A counter that has returned to its value in the last acknowledged report must be sent again,
/// because the aggregator may hold a report from in between.
#[test]
fn counter_that_changed_and_changed_back_is_reported() {
    let mut pair = ReportingPair::new();
    for (round, count) in [(0, 3), (1, 3), (2, 5), (3, 3)] {
        let report = pair
            .report(ms(300 * round), count)
            .expect("a report to the aggregator");
        let reply = pair
            .reply(report, ms(300 * round))
            .expect("a reply of the aggregator");
        // The reply to the third report is lost.
        if round != 2 {
            pair.deliver_reply(reply, ms(300 * round + 1));
        }
    }
    let none = SketchCounters::default();
    pair.aggregator
        .handle_timeout(ms(1000), &none, &[], 0.5, &mut Vec::new());
    assert_eq!(pair.aggregated_count(ms(1000)), Some(3));
}

/// A late report and a report of an earlier incarnation must change nothing.
#[test]
fn outdated_report_changes_nothing() {
    let mut pair = ReportingPair::new();
    let old = pair.report(ms(0), 9).expect("a report to the aggregator");
    let new = pair.report(ms(300), 2).expect("a report to the aggregator");
    assert!(pair.reply(new, ms(300)).is_some());
    assert!(pair.reply(old.clone(), ms(400)).is_none(), "late report");
    let AggregationMessage::Report(mut earlier) = old else {
        panic!("expected a report")
    };
    (earlier.incarnation, earlier.seq) = (19, 99);
    assert!(
        pair.reply(AggregationMessage::Report(earlier), ms(500))
            .is_none(),
        "report of an earlier incarnation"
    );
    // The aggregator's own second report is the first one with a known age.
    for now in [600, 900] {
        let none = SketchCounters::default();
        pair.aggregator
            .handle_timeout(ms(now), &none, &[], 0.5, &mut Vec::new());
    }
    assert_eq!(pair.aggregated_count(ms(900)), Some(2));
}
