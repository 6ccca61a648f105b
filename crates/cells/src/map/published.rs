//! The map in force, shared between threads.

use std::sync::Arc;

use arc_swap::ArcSwap;

use super::CellMap;

/// The map in force, for readers that must never block: they load the present map, and a newer epoch replaces it at
/// once.
#[derive(Default)]
pub struct PublishedMap(ArcSwap<CellMap>);

impl PublishedMap {
    /// Puts a first map in force.
    pub fn new(map: CellMap) -> PublishedMap {
        PublishedMap(ArcSwap::from_pointee(map))
    }

    /// The map in force.
    pub fn load(&self) -> Arc<CellMap> {
        self.0.load_full()
    }

    /// Puts a newer map in force; returns false and changes nothing where it is not newer.
    pub fn publish(&self, map: CellMap) -> bool {
        let map = Arc::new(map);
        let previous = self.0.rcu(|current| {
            if map.epoch() > current.epoch() {
                map.clone()
            } else {
                current.clone()
            }
        });
        map.epoch() > previous.epoch()
    }
}
