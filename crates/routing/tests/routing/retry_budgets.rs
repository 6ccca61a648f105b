//! Limits on retries: the budgets of tenants and the quota of the router.

use std::time::Duration;

use routing::{AttemptOutcome, RetryBudgets, RetryDecision, RetryUsage};

use crate::fixtures::{all_available, map, ms, read_request, router_with};

/// The number of retries is limited to the burst and a fraction of the first attempts, even if a
/// cell rejects everything.
#[test]
fn retries_keep_to_their_budget() {
    let (map, mut router) = (
        map(),
        router_with(|s| (s.retry_budget_ratio, s.retry_budget_burst) = (0.1, 5.0)),
    );
    let mut retries = 0;
    for n in 0..1000 {
        let (ticket, _) =
            router.route_request(read_request("alpenergia"), &map, all_available, ms(n));
        while let RetryDecision::Retry(_) = router.finish_attempt(
            ticket,
            AttemptOutcome::Rejected { is_final: false },
            None,
            &map,
            all_available,
            ms(n),
        ) {
            retries += 1;
        }
    }
    assert!(
        (100..=105).contains(&retries),
        "{retries} retries for 1000 first attempts"
    );
    // The other tenant has a budget of its own.
    let (ticket, _) = router.route_request(read_request("solpiana"), &map, all_available, ms(0));
    assert!(matches!(
        router.finish_attempt(
            ticket,
            AttemptOutcome::NotSent,
            None,
            &map,
            all_available,
            ms(0)
        ),
        RetryDecision::Retry(_)
    ));
}

#[test]
fn number_of_kept_budgets_is_bounded() {
    let mut budget = RetryBudgets::new(0.1, 1.0, 3);
    let cell = "a".into();
    for n in 0..10 {
        budget.record_first_attempt(&format!("tenant-{n}").into(), &cell);
    }
    assert_eq!(budget.budget_count(), 3);
    assert!(budget.try_spend_retry(&"tenant-9".into(), &cell, Duration::ZERO));
    assert!(!budget.try_spend_retry(&"tenant-9".into(), &cell, Duration::ZERO));
    // The least recently used budget was evicted, not that of tenant-9.
    budget.record_first_attempt(&"tenant-10".into(), &cell);
    assert!(!budget.try_spend_retry(&"tenant-9".into(), &cell, Duration::ZERO));
}

/// In any second, no more retries are sent than the quota's rate and the retries that had
/// accumulated. Lowering the quota also lowers the limit of accumulated retries, a quota of 0
/// allows no retry, and a retry that the quota denied is not deducted from the tenant's budget.
#[test]
fn retries_keep_to_the_routers_quota() {
    let ms = Duration::from_millis;
    let (tenant, cell) = ("t".into(), "c".into());
    let mut budget = RetryBudgets::new(0.0, 1000.0, 10);
    budget.set_quota(Some(20), ms(0));
    let retries_sent = |budget: &mut RetryBudgets, from: u64, to: u64| {
        (from..to)
            .filter(|at| budget.try_spend_retry(&tenant, &cell, ms(*at)))
            .count()
    };
    // At most a quarter of a second's worth accumulates, however much time has passed.
    assert!((20..=25).contains(&retries_sent(&mut budget, 10_000, 11_000)));
    assert_eq!(retries_sent(&mut budget, 11_000, 12_000), 20);
    assert!(budget.take_usage().sent >= 40 && budget.take_usage() == RetryUsage::default());
    budget.set_quota(Some(2), ms(20_000));
    assert!(retries_sent(&mut budget, 20_000, 21_000) <= 3);
    budget.set_quota(Some(0), ms(30_000));
    assert_eq!(retries_sent(&mut budget, 30_000, 31_000), 0);
    assert_eq!(
        budget.take_usage().requested,
        2000,
        "denied retries count as requested"
    );
    budget.set_quota(None, ms(40_000));
    let retries = retries_sent(&mut budget, 40_000, 42_000);
    assert!(
        (900..960).contains(&retries),
        "{retries} retries: only the retries that were sent are deducted from the tenant's budget"
    );
}
