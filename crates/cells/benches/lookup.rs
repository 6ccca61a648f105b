//! Measures the cost of a lookup by the number of declared tenants, and the memory used by their
//! map.

use std::hint::black_box;

use cells::map::CellMap;
use cells::Layout;
use cells::{CellSpec, NodeSpec, Placement, TenantSpec};
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};

fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

fn layout(tenants: usize) -> Layout {
    let mut layout = Layout {
        slack: 0.25,
        shard_size: 2,
        accepts_undeclared_tenants: true,
        ..Layout::default()
    };
    for n in 0..16 {
        layout
            .cells
            .insert(format!("cell-{n:02}").into(), CellSpec::default());
    }
    for n in 0..64 {
        let spec = NodeSpec {
            site: format!("site-{}", n % 3).into(),
            weight: 1.0,
            address: None,
            cell: None,
        };
        layout.nodes.insert(format!("n{n:02}").into(), spec);
    }
    for n in 0..tenants {
        layout.tenants.insert(
            format!("tenant-{n:07}").into(),
            TenantSpec {
                share: 1.0,
                placement: Placement::Free,
            },
        );
    }
    layout
}

fn lookup(c: &mut Criterion) {
    let mut group = c.benchmark_group("lookup");
    for tenants in [1_000, 10_000, 100_000, 1_000_000] {
        let layout = layout(tenants);
        let before = resident_kb();
        let Ok(map) = CellMap::from_layout(&layout) else {
            continue;
        };
        println!(
            "{tenants} tenants: {} kB",
            resident_kb().saturating_sub(before)
        );
        let names: Vec<String> = (0..1024)
            .map(|n| format!("tenant-{:07}", n * 7919 % tenants))
            .collect();
        let mut n = 0;
        let mut next = || {
            n = (n + 1) % names.len();
            names[n].clone()
        };
        group.bench_function(BenchmarkId::new("cell", tenants), |b| {
            b.iter_batched(
                &mut next,
                |name| map.cell_for(black_box(&name), None).map(|c| c.nodes.len()),
                criterion::BatchSize::SmallInput,
            );
        });
        group.bench_function(BenchmarkId::new("cell and shard", tenants), |b| {
            b.iter_batched(
                &mut next,
                |name| {
                    map.cell_for(black_box(&name), None)
                        .map(|c| map.shard_nodes(c, &name).len())
                },
                criterion::BatchSize::SmallInput,
            );
        });
        if tenants == 1_000 {
            group.bench_function("stranger", |b| {
                b.iter(|| {
                    map.cell_for(black_box("somebody-else"), None)
                        .map(|c| c.nodes.len())
                });
            });
        }
    }
    group.finish();
}

criterion_group!(benches, lookup);
criterion_main!(benches);
