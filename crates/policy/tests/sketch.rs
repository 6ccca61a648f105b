//! Properties of the sketch, on fixed seeds.
use std::collections::BTreeMap;

use policy::Sketch;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn check(cases: u32, test: impl Fn(u64, Vec<u64>) -> Result<(), TestCaseError>) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let input = (any::<u64>(), prop::collection::vec(0..3000_u64, 1..2000));
    TestRunner::new_with_rng(config, rng)
        .run(&input, |(seed, keys)| test(seed, keys))
        .expect("the property holds");
}

#[test]
fn counts_are_never_too_low_and_return_to_zero() {
    check(64, |seed, keys| {
        let sketch = Sketch::new(seed);
        let mut truth: BTreeMap<u64, i32> = BTreeMap::new();
        for key in &keys {
            let count = truth.entry(*key).or_insert(0);
            *count += 1;
            prop_assert!(sketch.add(*key, 1) >= *count);
        }
        for key in &keys {
            sketch.add(*key, -1);
        }
        prop_assert!(keys.iter().all(|key| sketch.add(*key, 0) == 0));
        Ok(())
    });
}

#[test]
fn a_hundred_tenants_are_counted_separately() {
    check(32, |seed, _| {
        let sketch = Sketch::new(seed);
        for key in 0..100 {
            prop_assert_eq!(sketch.add(key, 1), 1);
        }
        Ok(())
    });
}

#[test]
fn counts_from_many_threads_add_up() {
    let sketch = Sketch::new(3);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| (0..1000).map(|_| sketch.add(9, 1)).max());
        }
    });
    assert_eq!(sketch.add(9, 0), 4000);
}
