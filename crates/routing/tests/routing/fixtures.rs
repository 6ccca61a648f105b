//! Fixtures: the cell map of a small fleet, requests and routers.

use std::time::Duration;

use cells::{CellMap, CellSpec, Layout, NodeSpec, Placement, TenantSpec};
use routing::{Request, RouteDecision, Router, RoutingSettings};

pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a map of two cells with three nodes each; alpenergia is assigned to `a`, solpiana to
/// `b`.
pub(crate) fn map() -> CellMap {
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
    CellMap::from_layout(&layout).expect("the layout is valid")
}

/// Returns an idempotent request.
pub(crate) fn read_request(tenant: &str) -> Request {
    Request {
        tenant: tenant.into(),
        subject: None,
        is_idempotent: true,
        deadline: ms(1_000_000),
    }
}

/// Returns a request that must not run twice.
pub(crate) fn settlement_request(tenant: &str) -> Request {
    Request {
        is_idempotent: false,
        ..read_request(tenant)
    }
}

pub(crate) fn all_available(_: &str) -> bool {
    true
}

pub(crate) fn router_with(change: impl FnOnce(&mut RoutingSettings)) -> Router {
    let mut settings = RoutingSettings::default();
    change(&mut settings);
    Router::new(settings, 7)
}

pub(crate) fn expect_forwarded(decision: RouteDecision) -> String {
    match decision {
        RouteDecision::Forward(node) => node.to_string(),
        other => panic!("not forwarded: {other:?}"),
    }
}
