//! The router's decisions: rules that hold under random steps, and the cases that they are there for.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cells::map::CellMap;
use cells::Layout;
use cells::{CellSpec, NodeSpec, Placement, TenantSpec};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use routing::{
    After, Budget, Checks, End, Presence, Refusal, Request, Route, Router, Rules, Standing, Ticket,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Two cells of three nodes; alpenergia lives in `a`, solpiana in `b`.
fn map() -> CellMap {
    let mut layout = Layout {
        slack: 1.0,
        ..Layout::default()
    };
    for (cell, tenant) in [("a", "alpenergia"), ("b", "solpiana")] {
        layout.cells.insert(cell.into(), CellSpec::default());
        for n in 0..3 {
            let spec = NodeSpec {
                site: format!("site-{n}").into(),
                weight: 1.0,
                address: None,
                cell: Some(cell.into()),
            };
            layout.nodes.insert(format!("{cell}{n}").into(), spec);
        }
        layout.tenants.insert(
            tenant.into(),
            TenantSpec {
                share: 1.0,
                placement: Placement::Cell(cell.into()),
            },
        );
    }
    CellMap::from_layout(&layout).expect("a map")
}

fn read(tenant: &str) -> Request {
    Request {
        tenant: tenant.into(),
        subject: None,
        once: false,
        deadline: ms(1_000_000),
    }
}
fn post(tenant: &str) -> Request {
    Request {
        once: true,
        ..read(tenant)
    }
}
fn all(_: &str) -> bool {
    true
}
fn router(change: impl FnOnce(&mut Rules)) -> Router {
    let mut rules = Rules::default();
    change(&mut rules);
    Router::new(rules, 7)
}
fn sent(route: Route) -> String {
    match route {
        Route::Send(node) => node.to_string(),
        other => panic!("not sent: {other:?}"),
    }
}

/// Guards the other cells: a request never leaves its tenant's, and one without a cell is told so.
#[test]
fn a_request_goes_to_a_node_of_its_cell() {
    let (map, mut router) = (map(), router(|_| {}));
    for n in 0..300 {
        let (ticket, route) = router.arrive(read("alpenergia"), &map, all, ms(n));
        let node = sent(route);
        assert!(node.starts_with('a'), "{node}");
        assert_eq!(
            router.ended(ticket, End::Served, None, &map, all, ms(n)),
            After::Answer
        );
    }
    let (_, route) = router.arrive(read("nobody"), &map, all, ms(0));
    assert_eq!(route, Route::Refuse(Refusal::NoCell));
    let (_, route) = router.arrive(read("alpenergia"), &map, |n| n.starts_with('b'), ms(0));
    assert_eq!(route, Route::Refuse(Refusal::NoNode(ms(200))));
    let late = Request {
        deadline: ms(10),
        ..read("alpenergia")
    };
    assert_eq!(
        router.arrive(late, &map, all, ms(0)).1,
        Route::Refuse(Refusal::TooLate)
    );
    assert_eq!(router.open(), 0);
}

/// Guards the single effect: a settlement that may have run is never sent again; a refused one and one that never left
/// may be, elsewhere.
#[test]
fn a_settlement_that_may_have_run_is_never_sent_again() {
    let map = map();
    for (end, again) in [
        (End::Lost, false),
        (End::Failed, false),
        (End::Refused { last: true }, false),
        (End::Refused { last: false }, true),
        (End::NotSent, true),
    ] {
        let mut router = router(|_| {});
        let (ticket, route) = router.arrive(post("alpenergia"), &map, all, ms(0));
        let first = sent(route);
        match router.ended(ticket, end, None, &map, all, ms(5)) {
            After::Again(node) => {
                assert!(again && *node != *first, "{end:?}: {first}, then {node}");
            }
            other => {
                assert!(!again, "{end:?}: {other:?}");
                assert_eq!(other == After::MayHaveRun, end == End::Lost);
                assert_eq!(router.open(), 0);
            }
        }
    }
    // A read that was lost may go to another node.
    let mut router = router(|_| {});
    let (ticket, _) = router.arrive(read("alpenergia"), &map, all, ms(0));
    assert!(matches!(
        router.ended(ticket, End::Lost, None, &map, all, ms(5)),
        After::Again(_)
    ));
}

/// Guards a cell that refuses all: tries again are paid for by first ones.
#[test]
fn tries_again_keep_to_their_budget() {
    let (map, mut router) = (
        map(),
        router(|r| (r.budget_ratio, r.budget_burst) = (0.1, 5.0)),
    );
    let mut again = 0;
    for n in 0..1000 {
        let (ticket, _) = router.arrive(read("alpenergia"), &map, all, ms(n));
        while let After::Again(_) =
            router.ended(ticket, End::Refused { last: false }, None, &map, all, ms(n))
        {
            again += 1;
        }
    }
    assert!(
        (100..=105).contains(&again),
        "{again} tries again for 1000 first ones"
    );
    // The other tenant's is its own.
    let (ticket, _) = router.arrive(read("solpiana"), &map, all, ms(0));
    assert!(matches!(
        router.ended(ticket, End::NotSent, None, &map, all, ms(0)),
        After::Again(_)
    ));
}

#[test]
fn remembered_budgets_are_bounded() {
    let mut budget = Budget::new(0.1, 1.0, 3);
    let cell = "a".into();
    for n in 0..10 {
        budget.first_try(&format!("tenant-{n}").into(), &cell);
    }
    assert_eq!(budget.remembered(), 3);
    assert!(budget.further_try(&"tenant-9".into(), &cell, Duration::ZERO));
    assert!(!budget.further_try(&"tenant-9".into(), &cell, Duration::ZERO));
    // The one unused the longest went.
    budget.first_try(&"tenant-10".into(), &cell);
    assert!(!budget.further_try(&"tenant-9".into(), &cell, Duration::ZERO));
}

/// Guards a full cell: what waits is bounded, goes out in order as places come free, and is refused in time.
#[test]
fn what_waits_is_bounded_and_goes_in_order() {
    let (map, mut router) = (map(), router(|r| (r.per_node, r.waiting) = (1, 2)));
    let mut at: Vec<Ticket> = Vec::new();
    for _ in 0..3 {
        let (ticket, route) = router.arrive(read("alpenergia"), &map, all, ms(0));
        sent(route);
        at.push(ticket);
    }
    let (first, route) = router.arrive(
        Request {
            deadline: ms(500),
            ..read("alpenergia")
        },
        &map,
        all,
        ms(0),
    );
    assert_eq!(route, Route::Wait);
    let (second, route) = router.arrive(read("alpenergia"), &map, all, ms(0));
    assert_eq!(route, Route::Wait);
    assert_eq!(
        router.arrive(read("alpenergia"), &map, all, ms(0)).1,
        Route::Refuse(Refusal::Full(ms(200)))
    );
    // The other cell is not full.
    sent(router.arrive(read("solpiana"), &map, all, ms(0)).1);
    assert_eq!(router.next(&map, all, ms(10)), None);
    router.ended(at[0], End::Served, None, &map, all, ms(600));
    assert_eq!(
        router.next(&map, all, ms(600)),
        Some((first, Route::Refuse(Refusal::TooLate)))
    );
    let (ticket, route) = router.next(&map, all, ms(600)).expect("a place");
    assert_eq!(ticket, second);
    sent(route);
    assert_eq!(router.next(&map, all, ms(600)), None);
}

/// Guards the deadline of one that waits behind others that have more time: it is answered at its own.
#[test]
fn one_in_the_middle_of_the_line_can_be_given_up() {
    let (map, mut router) = (map(), router(|r| (r.per_node, r.waiting) = (1, 2)));
    let at: Vec<Ticket> = (0..3)
        .map(|_| router.arrive(read("alpenergia"), &map, all, ms(0)).0)
        .collect();
    let waits: Vec<Ticket> = (0..2)
        .map(|_| router.arrive(read("alpenergia"), &map, all, ms(0)).0)
        .collect();
    assert!(router.give_up(waits[1]) && !router.give_up(waits[1]) && !router.give_up(at[0]));
    assert_eq!(router.open(), 4);
    // Its place in the line is free, and the order of the others stands.
    let (last, route) = router.arrive(read("alpenergia"), &map, all, ms(0));
    assert_eq!(route, Route::Wait);
    for (done, next) in at.iter().zip([waits[0], last]) {
        router.ended(*done, End::Served, None, &map, all, ms(1));
        assert_eq!(
            router.next(&map, all, ms(1)).map(|(ticket, _)| ticket),
            Some(next)
        );
    }
}

/// Guards against a node that breaks what it gets: it is left out, probed with what may be repeated, and comes back by
/// degrees; and when most of a cell is so, nobody is an outlier.
#[test]
fn a_node_that_breaks_is_left_out_and_probed() {
    let (map, mut router) = (map(), router(|r| r.budget_burst = 1e9));
    let share = |router: &mut Router,
                 from: u64,
                 broken: &dyn Fn(&str) -> bool,
                 kind: fn(&str) -> Request| {
        let mut got: BTreeMap<String, usize> = BTreeMap::new();
        for n in 0..300 {
            let (ticket, route) = router.arrive(kind("alpenergia"), &map, all, ms(from + n));
            let mut node = sent(route);
            loop {
                *got.entry(node.clone()).or_default() += 1;
                let end = if broken(&node) {
                    End::Lost
                } else {
                    End::Served
                };
                match router.ended(ticket, end, None, &map, all, ms(from + n)) {
                    After::Again(next) => node = next.to_string(),
                    _ => break,
                }
            }
        }
        got
    };
    let a0 = |node: &str| node == "a0";
    let got = share(&mut router, 0, &a0, read);
    assert!(got["a0"] <= 6, "{got:?}");
    assert_eq!(router.standing("a0", ms(299)), Standing::Out);
    // Out no longer, it gets probes of what may be repeated and no settlements.
    assert_eq!(router.standing("a0", ms(2000)), Standing::Probe);
    assert_eq!(share(&mut router, 2000, &a0, post).get("a0"), None);
    assert_eq!(share(&mut router, 2400, &a0, read)["a0"], 1);
    assert_eq!(
        router.standing("a0", ms(2400 + 1900)),
        Standing::Out,
        "out for twice as long"
    );
    // Well again: little at first, then its part.
    let well = |_: &str| false;
    let first = share(&mut router, 5000, &well, read)["a0"];
    let later = share(&mut router, 11_000, &well, read)["a0"];
    assert!(first < 40 && later > 60, "{first} at first, {later} later");
    // All three: there is no better one, so all are tried.
    share(&mut router, 20_000, &|_| true, read);
    assert!(share(&mut router, 21_000, &well, read).len() == 3);
}

/// Guards the nodes' own word: one that wants half of the usual gets less.
#[test]
fn hints_and_load_decide() {
    let (map, mut router) = (map(), router(|r| r.per_node = 1000));
    let mut got: BTreeMap<String, usize> = BTreeMap::new();
    let mut open = Vec::new();
    for n in 0..600 {
        let (ticket, route) = router.arrive(read("alpenergia"), &map, all, ms(n));
        let node = sent(route);
        *got.entry(node.clone()).or_default() += 1;
        open.push((ticket, node));
        if open.len() > 60 {
            let (ticket, node) = open.remove(0);
            let hint = if node == "a0" { 0.25 } else { 1.0 };
            router.ended(ticket, End::Served, Some(hint), &map, all, ms(n));
        }
    }
    assert!(
        got["a0"] * 2 < got["a1"] && got["a0"] * 2 < got["a2"],
        "{got:?}"
    );
    assert!(got["a1"].abs_diff(got["a2"]) < 60, "{got:?}");
}

#[derive(Clone, Debug)]
enum Do {
    Arrive { once: bool, other: bool, wait: u16 },
    End { which: u8, how: u8 },
    Next,
    Pass(u16),
    Flip(u8),
}
impl Arbitrary for Do {
    fn arbitrary(g: &mut Gen) -> Do {
        match u8::arbitrary(g) % 12 {
            0..=4 => Do::Arrive {
                once: bool::arbitrary(g),
                other: bool::arbitrary(g),
                wait: u16::arbitrary(g) % 3000,
            },
            5..=8 => Do::End {
                which: u8::arbitrary(g),
                how: u8::arbitrary(g) % 5,
            },
            9 => Do::Next,
            10 => Do::Pass(u16::arbitrary(g) % 400),
            _ => Do::Flip(u8::arbitrary(g) % 6),
        }
    }
}

/// Whatever happens: what is open is what was taken up and has not ended, a settlement is nowhere again once it may
/// have run, no node twice for one request, none beyond its places, none in another cell, and equal steps end equally.
#[test]
fn random_steps_keep_the_rules() {
    fn play(steps: &[Do]) -> Option<Vec<String>> {
        let map = map();
        let mut router = router(|r| (r.per_node, r.waiting, r.tries) = (2, 3, 3));
        let (mut now, mut down, mut told) = (0, BTreeSet::new(), Vec::new());
        let mut at: BTreeMap<Ticket, (Request, Vec<String>)> = BTreeMap::new();
        let mut waits: BTreeMap<Ticket, Request> = BTreeMap::new();
        for step in steps {
            let there = |node: &str| !down.contains(node);
            let mut out: Option<(Ticket, Request, Route)> = None;
            match step {
                Do::Arrive { once, other, wait } => {
                    let tenant = if *other { "solpiana" } else { "alpenergia" };
                    let request = Request {
                        once: *once,
                        deadline: ms(now + u64::from(*wait)),
                        ..read(tenant)
                    };
                    let (ticket, route) = router.arrive(request.clone(), &map, there, ms(now));
                    out = Some((ticket, request, route));
                }
                Do::End { which, how } => {
                    let Some(ticket) = at
                        .keys()
                        .nth(usize::from(*which) % at.len().max(1))
                        .copied()
                    else {
                        continue;
                    };
                    let (request, mut tried) = at.remove(&ticket)?;
                    let ends = [
                        End::Served,
                        End::Refused { last: false },
                        End::Failed,
                        End::NotSent,
                        End::Lost,
                    ];
                    let end = ends[usize::from(*how)];
                    let after = router.ended(ticket, end, None, &map, there, ms(now));
                    told.push(format!("{after:?}"));
                    if let After::Again(node) = after {
                        let may_have_run = matches!(end, End::Lost | End::Failed);
                        if tried.contains(&node.to_string())
                            || request.once && may_have_run
                            || end == End::Served
                        {
                            return None;
                        }
                        tried.push(node.to_string());
                        at.insert(ticket, (request, tried));
                    }
                }
                Do::Next => {
                    if let Some((ticket, route)) = router.next(&map, there, ms(now)) {
                        out = Some((ticket, waits.remove(&ticket)?, route));
                    }
                }
                Do::Pass(by) => now += u64::from(*by),
                Do::Flip(n) => {
                    let node = format!("{}{}", if n % 2 == 0 { "a" } else { "b" }, n / 2);
                    if !down.remove(&node) {
                        down.insert(node);
                    }
                }
            }
            if let Some((ticket, request, route)) = out {
                told.push(format!("{ticket} {route:?}"));
                match route {
                    Route::Send(node) => {
                        let cell = if &*request.tenant == "solpiana" {
                            'b'
                        } else {
                            'a'
                        };
                        if !node.starts_with(cell) || down.contains(&*node) {
                            return None;
                        }
                        at.insert(ticket, (request, vec![node.to_string()]));
                    }
                    Route::Wait => drop(waits.insert(ticket, request)),
                    Route::Refuse(_) => {}
                }
            }
            let mut load: BTreeMap<&String, usize> = BTreeMap::new();
            at.values()
                .filter_map(|(_, tried)| tried.last())
                .for_each(|node| *load.entry(node).or_default() += 1);
            let counted = load
                .iter()
                .all(|(node, n)| router.at(node) == *n && *n <= 2);
            if !counted || router.open() != at.len() + waits.len() || waits.len() > 6 {
                return None;
            }
        }
        Some(told)
    }
    fn check(steps: Vec<Do>) -> bool {
        let first = play(&steps);
        first.is_some() && first == play(&steps)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, 0x6d6f_7468))
        .tests(2000)
        .quickcheck(check as fn(Vec<Do>) -> bool);
}

/// Guards requests against a node that somebody got no answer from, and the last nodes of a cell against being left out for
/// a doubt: who is in doubt gets something only where nobody is there.
#[test]
fn one_in_doubt_comes_after_those_that_are_there() {
    let map = map();
    let mut router = Router::new(Rules::default(), 1);
    let doubt = |nodes: &'static [&'static str]| {
        move |n: &str| {
            if nodes.contains(&n) {
                Presence::Doubtful
            } else {
                Presence::There
            }
        }
    };
    for _ in 0..50 {
        let (ticket, route) = router.arrive(read("alpenergia"), &map, doubt(&["a0", "a1"]), ms(0));
        assert_eq!(route, Route::Send("a2".into()));
        router.ended(ticket, End::Served, None, &map, doubt(&["a0", "a1"]), ms(0));
    }
    let (_, route) = router.arrive(read("alpenergia"), &map, doubt(&["a0", "a1", "a2"]), ms(0));
    assert!(matches!(route, Route::Send(_)), "{route:?}");
    let (_, route) = router.arrive(read("alpenergia"), &map, |_: &str| Presence::Away, ms(0));
    assert!(matches!(route, Route::Refuse(_)), "{route:?}");
}

#[test]
fn a_check_holds_for_its_patience_and_a_bad_answer_ends_it() {
    let mut checks = Checks::new(ms(1000));
    let name = "a0".into();
    assert_eq!(checks.presence("a0", ms(0)), Presence::Away);
    checks.heard(&name, true, ms(100));
    assert_eq!(
        (
            checks.presence("a0", ms(1099)),
            checks.presence("a0", ms(1100))
        ),
        (Presence::There, Presence::Away)
    );
    checks.heard(&name, true, ms(1200));
    checks.heard(&name, false, ms(1300));
    assert_eq!(checks.presence("a0", ms(1300)), Presence::Away);
}

/// Guards the fleet's budget of further tries: in any second no more go out than the part's rate and what was saved, a part that
/// falls takes what was saved with it, none is spent without a part, and a tenant pays for no try that the fleet refused.
#[test]
fn further_tries_keep_to_the_routers_part_of_the_fleets() {
    let ms = Duration::from_millis;
    let (tenant, cell) = ("t".into(), "c".into());
    let mut budget = Budget::new(0.0, 1000.0, 10);
    budget.set_part(Some(20), ms(0));
    let tries = |budget: &mut Budget, from: u64, to: u64| {
        (from..to)
            .filter(|at| budget.further_try(&tenant, &cell, ms(*at)))
            .count()
    };
    // A quarter of a second's worth is saved at the most, whatever time went by.
    assert!((20..=25).contains(&tries(&mut budget, 10_000, 11_000)));
    assert_eq!(tries(&mut budget, 11_000, 12_000), 20);
    assert!(budget.take_counts().0 >= 40 && budget.take_counts() == (0, 0));
    budget.set_part(Some(2), ms(20_000));
    assert!(tries(&mut budget, 20_000, 21_000) <= 3);
    budget.set_part(Some(0), ms(30_000));
    assert_eq!(tries(&mut budget, 30_000, 31_000), 0);
    assert_eq!(
        budget.take_counts().1,
        2000,
        "what was wanted is told all the same"
    );
    budget.set_part(None, ms(40_000));
    let left = tries(&mut budget, 40_000, 42_000);
    assert!(
        (900..960).contains(&left),
        "{left}: the tenant paid for what went out"
    );
}
