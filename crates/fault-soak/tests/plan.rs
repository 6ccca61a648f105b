//! Plans are deterministic, and a mean covers its whole window.

use std::time::Duration;

use fault_soak::{MeanWindow, Plan};

#[test]
fn a_seed_always_gives_the_same_plan() {
    for seed in 0..50 {
        let plan = Plan::draw(seed);
        assert_eq!(plan, Plan::draw(seed));
        let ends = plan.faults.iter().map(|fault| fault.from + fault.length);
        assert!(ends.max() <= Some(plan.fault_period), "{plan:?}");
    }
    assert_ne!(Plan::draw(1), Plan::draw(2));
}

#[test]
fn mean_covers_the_window_and_drops_older_intervals() {
    let mut window = MeanWindow::new(Duration::from_secs(3));
    window.add(Duration::from_secs(1), 6.0);
    assert_eq!(window.mean(), 2.0);
    for _ in 0..2 {
        window.add(Duration::from_secs(1), 3.0);
    }
    assert_eq!(window.mean(), 4.0);
    window.add(Duration::from_secs(1), 0.0);
    assert_eq!(window.mean(), 2.0);
}
