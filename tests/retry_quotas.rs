//! A retry quota that routers share, while streams are cut and the leader is killed.

#[path = "common/testbed.rs"]
mod testbed;

use std::cell::Cell;
use std::time::{Duration, Instant};

use fault_testbed::{ProcessPlan, Testbed};
use testbed::{node_names, plan_nodes, start_nodes, ClientLoad, LoadClients, SETTLE_TIMEOUT};

/// Total of the fleet's retry quota.
const RETRY_QUOTA: u64 = 10;

/// Starts three nodes and two routers that share a retry quota.
fn start_fleet_with_routers() -> Testbed {
    let mut testbed = Testbed::new(9).expect("sockets");
    let fleet_fields = format!(
        "period_ms: 200, keepers: ['n0', 'n1', 'n2'], budgets: {{ tries: {{ total: {RETRY_QUOTA} }} }},"
    );
    plan_nodes(&mut testbed, 0..3, &fleet_fields);
    for name in ["r0", "r1"] {
        testbed
            .add_process(ProcessPlan {
                name: name.into(),
                fleet_fields: fleet_fields.clone(),
                ..ProcessPlan::node(0)
            })
            .expect("sockets");
    }
    testbed.set_seeds(&["n0", "n1"]);
    start_nodes(&mut testbed, &node_names(0..3));
    for router in ["r0", "r1"] {
        testbed.start_router(router, true);
    }
    testbed.wait_until_up(&["r0", "r1"]);
    testbed.wait_until_converged(SETTLE_TIMEOUT);
    testbed
}

/// Both routers lease a part of the retry quota and together never spend more than the total, even
/// while streams are cut under load. Under a new leader they hold leases again.
#[test]
fn routers_share_one_retry_quota() {
    let mut testbed = start_fleet_with_routers();
    // Streams of one router are cut repeatedly. The requests that were in flight on them are lost,
    // and retried within the quota.
    let _many_clients = LoadClients::start(&testbed, "r0", 12, ClientLoad::SHORT_CALLS);
    let _few_clients = LoadClients::start(&testbed, "r1", 2, ClientLoad::SHORT_CALLS);
    let quota = |testbed: &Testbed, name: &str| {
        testbed
            .query_shared_state(name)
            .map(|s| s.budgets[0].clone())
    };
    let last_cut = Cell::new(Instant::now());
    let both_have_leases = |testbed: &Testbed| {
        let (Some(first), Some(second)) = (quota(testbed, "r0"), quota(testbed, "r1")) else {
            return false;
        };
        assert!(
            first.usage.in_use + second.usage.in_use <= RETRY_QUOTA,
            "{first:?} {second:?}"
        );
        if last_cut.get().elapsed() > Duration::from_millis(200) {
            last_cut.set(Instant::now());
            testbed.proxy().with_links(|links| {
                for name in node_names(0..3) {
                    links.cut_streams("r0", &name);
                }
            });
        }
        first.leased.units > 0 && second.leased.units > 0
    };
    testbed
        .wait_for("both have leases", SETTLE_TIMEOUT, both_have_leases)
        .expect("leases for both");
    let leader = testbed.leader("r0").expect("there is a leader");
    testbed.kill(&leader);
    testbed
        .wait_for("another node leads", SETTLE_TIMEOUT, |testbed| {
            both_have_leases(testbed);
            testbed.leader("r0").is_some_and(|now| now != leader)
        })
        .expect("a new leader");
    testbed
        .wait_for("both have leases", SETTLE_TIMEOUT, both_have_leases)
        .expect("leases for both");
}
