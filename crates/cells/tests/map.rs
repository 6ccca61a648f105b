//! Tests of the cell map: it is deterministic, a change migrates few tenants, capacity and sites
//! are respected, and no tenant moves without a migration.

use std::collections::BTreeMap;

use cells::map::{AssignedCells, CellMap, PublishedMap};
use cells::{AppliedLayout, CellSpec, NodeSpec, Placement, TenantSpec};
use cells::{Layout, LayoutError};
use quickcheck::{Gen, QuickCheck};

const SITES: [&str; 3] = ["bergamo-est", "brescia-sud", "milano-lambrate"];

/// Returns a layout of cells, nodes over three sites and tenants of equal share.
fn layout(cells: usize, nodes: usize, tenants: usize) -> Layout {
    let mut layout = Layout {
        slack: 0.25,
        ..Layout::default()
    };
    for n in 0..cells {
        layout
            .cells
            .insert(format!("cell-{n:02}").into(), CellSpec::default());
    }
    for n in 0..nodes {
        let spec = NodeSpec {
            site: SITES[n % 3].into(),
            weight: 1.0,
            address: None,
            cell: None,
        };
        layout.nodes.insert(format!("n{n:02}").into(), spec);
    }
    for n in 0..tenants {
        layout.tenants.insert(
            format!("tenant-{n:05}").into(),
            TenantSpec {
                share: 1.0,
                placement: Placement::Free,
            },
        );
    }
    layout
}

fn map(layout: &Layout) -> CellMap {
    CellMap::from_layout(layout).expect("a map")
}

/// An added node causes migrations for about its share of the tenants, and no tenant moves without
/// one.
#[test]
fn added_node_attracts_few_tenants_and_none_without_a_migration() {
    let mut layout = layout(16, 64, 10_000);
    let first = map(&layout);
    layout.nodes.insert(
        "n64".into(),
        NodeSpec {
            site: SITES[0].into(),
            weight: 1.0,
            address: None,
            cell: None,
        },
    );
    let AppliedLayout {
        map: next,
        migrations: migrations_due,
    } = first.apply_layout(&layout).expect("a map");
    let ideal = 10_000.0 / 65.0;
    println!(
        "{} of 10,000 tenants move, ideal {ideal:.0}",
        migrations_due.len()
    );
    assert!(
        (migrations_due.len() as f64) < 1.3 * ideal,
        "{} tenants move",
        migrations_due.len()
    );
    assert!(
        migrations_due.len() as f64 > 0.5 * ideal,
        "{} tenants move",
        migrations_due.len()
    );
    // All of them migrate to the cell with the new node, and none moves before its migration is
    // committed.
    let cell = next.node("n64").expect("the node").cell.clone();
    for migration in &migrations_due {
        assert_eq!(migration.to, AssignedCells::One(cell.clone()));
        assert_eq!(
            next.assignment(&migration.tenant)
                .expect("an assignment")
                .cells,
            migration.from
        );
    }
    // The other nodes stay in their cells, and applying the layout again gives the same result.
    assert!(first
        .cells()
        .flat_map(|c| &c.nodes)
        .all(|n| next.node(&n.name).is_some_and(|m| m.cell == n.cell)));
    let AppliedLayout {
        map: again,
        migrations: still_due,
    } = next.apply_layout(&layout).expect("a map");
    assert_eq!(
        (again.epoch(), still_due.len()),
        (next.epoch(), migrations_due.len())
    );
}

/// Tenants are spread evenly over the cells, and few pairs of tenants share all their nodes.
#[test]
fn tenants_are_spread_and_few_share_all_their_nodes() {
    let mut layout = layout(16, 64, 10_000);
    layout.shard_size = 2;
    let map = map(&layout);
    let mut cells: BTreeMap<&str, usize> = BTreeMap::new();
    let mut shards: BTreeMap<Vec<&str>, usize> = BTreeMap::new();
    for tenant in layout.tenants.keys() {
        let cell = map.cell_for(tenant, None).expect("a cell");
        *cells.entry(&cell.name).or_default() += 1;
        let mut shard: Vec<&str> = map
            .shard_nodes(cell, tenant)
            .iter()
            .map(|n| &*n.name)
            .collect();
        let sites: std::collections::BTreeSet<_> = map
            .shard_nodes(cell, tenant)
            .iter()
            .map(|n| n.site.clone())
            .collect();
        assert_eq!((shard.len(), sites.len()), (2, 2), "{tenant}");
        shard.sort_unstable();
        *shards.entry(shard).or_default() += 1;
    }
    let (least, most) = (
        cells.values().min().expect("cells"),
        cells.values().max().expect("cells"),
    );
    let pairs = |n: usize| n as f64 * (n as f64 - 1.0);
    let share: f64 = shards.values().map(|n| pairs(*n)).sum::<f64>() / pairs(10_000);
    println!(
        "{least} to {most} tenants a cell, mean 625; {:.2}% of pairs share all their nodes",
        share * 100.0
    );
    assert!(*most as f64 <= 625.0 * 1.25 && *least as f64 >= 625.0 * 0.75);
    assert!(share < 0.02, "{share}");
}

/// Each cell spans several sites, so that it can sustain the loss of one, and no cell is filled
/// beyond its capacity.
#[test]
fn sites_and_capacity_are_respected() {
    let plain = layout(4, 12, 0);
    assert!(map(&plain)
        .cells()
        .all(|c| c.site_count() == 3 && c.nodes.len() == 3));
    let mut single_site = plain.clone();
    for (n, spec) in single_site.nodes.values_mut().enumerate() {
        spec.cell = Some(format!("cell-{:02}", n % 3).into());
    }
    single_site.cells.remove("cell-03");
    // Each cell has every third node, and so nodes of one site only.
    assert!(
        matches!(
            CellMap::from_layout(&single_site),
            Err(LayoutError::OneSite { .. })
        ),
        "{:?}",
        CellMap::from_layout(&single_site)
    );
    let mut large_shares = layout(4, 12, 3);
    // Three tenants each have a third of all shares, while a cell's capacity is a quarter plus a
    // slack of a quarter of that.
    assert!(
        matches!(
            CellMap::from_layout(&large_shares),
            Err(LayoutError::NoCapacity(_))
        ),
        "{:?}",
        CellMap::from_layout(&large_shares)
    );
    large_shares.slack = 0.4;
    let map = map(&large_shares);
    let used: std::collections::BTreeSet<_> = map
        .assignments()
        .map(|(_, assignment)| assignment.cells.to_string())
        .collect();
    assert_eq!(used.len(), 3, "each tenant must be in a different cell");
    assert!(matches!(
        CellMap::from_layout(&layout(4, 3, 0)),
        Err(LayoutError::NoNodes(_))
    ));
    assert_eq!(
        CellMap::from_layout(&layout(0, 3, 0)).err(),
        Some(LayoutError::NoCells)
    );
}

fn pin(layout: &mut Layout, tenant: &str, placement: Placement) {
    let spec = TenantSpec {
        share: 1.0,
        placement,
    };
    layout.tenants.insert(tenant.into(), spec);
}

/// Returns a layout with a pinned and a split tenant.
fn layout_with_pins() -> Layout {
    let mut layout = layout(4, 12, 40);
    // Enough capacity that one more tenant in a cell displaces no other.
    layout.slack = 1.0;
    pin(&mut layout, "alpenergia", Placement::Cell("cell-02".into()));
    pin(&mut layout, "solpiana", Placement::Split(2));
    layout
}

/// Pinned and split tenants are assigned as declared.
#[test]
fn pins_and_splits_hold() {
    let map = map(&layout_with_pins());
    let cell_name = |tenant: &str, subject: Option<&str>| {
        let cell = map.cell_for(tenant, subject).expect("a cell");
        cell.name.clone()
    };
    assert_eq!(&*cell_name("alpenergia", None), "cell-02");
    let assignment = map.assignment("solpiana").expect("an assignment");
    let AssignedCells::Split(split_cells) = assignment.cells.clone() else {
        panic!("not split")
    };
    let cell_of_subject = |n: usize| cell_name("solpiana", Some(&format!("POD{n}")));
    let in_first = (0..1000)
        .filter(|n| cell_of_subject(*n) == split_cells[0])
        .count();
    assert!(
        (400..600).contains(&in_first),
        "{in_first} of 1000 subjects"
    );
    assert!((0..1000).all(|n| split_cells.contains(&cell_of_subject(n))));
    assert_eq!(cell_name("solpiana", None), split_cells[0]);
    assert!(map.cell_for("nobody", None).is_none());
}

/// Applying a layout must not undo a migration that an operator requested, and can't remove a cell
/// that has tenants.
#[test]
fn manual_migrations_hold() {
    let mut layout = layout_with_pins();
    let first = map(&layout);
    // A manually migrated tenant stays. Once it is pinned to another cell, it must migrate.
    let tenant = "tenant-00007";
    let current = &first.assignment(tenant).expect("an assignment").cells;
    let to = first
        .cells()
        .map(|cell| cell.name.clone())
        .find(|cell| *current != AssignedCells::One(cell.clone()))
        .expect("another");
    let migrated = first
        .with_assignment(tenant, AssignedCells::One(to.clone()), None, true)
        .expect("migrated");
    assert_eq!(migrated.epoch(), first.epoch() + 1);
    assert!(migrated
        .apply_layout(&layout)
        .expect("a map")
        .migrations
        .is_empty());
    let elsewhere = layout
        .cells
        .keys()
        .find(|cell| **cell != to)
        .expect("another")
        .clone();
    pin(&mut layout, tenant, Placement::Cell(elsewhere));
    assert_eq!(
        migrated
            .apply_layout(&layout)
            .expect("a map")
            .migrations
            .len(),
        1
    );
    // A cell with tenants can't be removed.
    let mut smaller = layout.clone();
    smaller.cells.remove("cell-00");
    assert!(
        matches!(
            migrated.apply_layout(&smaller),
            Err(LayoutError::CellInUse { .. })
        ),
        "{:?}",
        migrated.apply_layout(&smaller).err()
    );
    assert!(matches!(
        migrated.with_assignment(tenant, AssignedCells::One("cell-99".into()), None, true),
        Err(LayoutError::UnknownCell { .. })
    ));
}

/// A map that is not newer never replaces the current one.
#[test]
fn older_map_is_never_published() {
    let layout = layout(4, 12, 4);
    let first = map(&layout);
    let second = first
        .with_assignment(
            "tenant-00001",
            AssignedCells::One("cell-03".into()),
            None,
            true,
        )
        .expect("moved");
    let published = PublishedMap::new(first.clone());
    assert!(published.publish(second.clone()));
    assert!(!published.publish(first));
    assert!(!published.publish(second.clone()));
    assert_eq!(published.load().epoch(), second.epoch());
}

/// For any sequence of added and removed nodes, every tenant is assigned to an existing cell, the
/// result is deterministic, and only tenants that the layout requires elsewhere migrate.
#[test]
fn random_layout_changes_keep_every_tenant_assigned() {
    fn check(steps: Vec<(u8, bool)>) -> bool {
        let mut layout = layout(3, 9, 60);
        layout.slack = 2.0;
        let mut map = map(&layout);
        steps.into_iter().all(|(n, add)| {
            let name = format!("n{:02}", n % 24);
            if add {
                let site = SITES[usize::from(n) % 3].into();
                let spec = NodeSpec {
                    site,
                    weight: 1.0 + f64::from(n % 4),
                    address: None,
                    cell: None,
                };
                layout.nodes.entry(name.as_str().into()).or_insert(spec);
            } else if layout.nodes.len() > 4 {
                layout.nodes.remove(name.as_str());
            }
            let Ok(AppliedLayout {
                map: next,
                migrations,
            }) = map.apply_layout(&layout)
            else {
                // The layout is rejected because a cell would be empty or at one site only; the
                // previous map stays in use.
                return true;
            };
            let is_deterministic = map.apply_layout(&layout).is_ok_and(|again| {
                again.map.epoch() == next.epoch() && again.migrations == migrations
            });
            let assignments_kept = next.assignments().all(|(t, assignment)| {
                map.assignment(t) == Some(assignment) && next.cell_for(t, None).is_some()
            });
            let mut migrated = next;
            for migration in &migrations {
                let Ok(with_migration) =
                    migrated.with_assignment(&migration.tenant, migration.to.clone(), None, false)
                else {
                    return false;
                };
                migrated = with_migration;
            }
            let is_converged = migrated
                .apply_layout(&layout)
                .is_ok_and(|applied| applied.migrations.is_empty());
            map = migrated;
            is_deterministic && assignments_kept && is_converged
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 0x6d6f_7468))
        .tests(200)
        .quickcheck(check as fn(Vec<(u8, bool)>) -> bool);
}
