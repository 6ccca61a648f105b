//! The current map, shared between threads.

use std::sync::Arc;

use arc_swap::ArcSwap;

use super::CellMap;

/// The current map, for readers that must never block. A newer epoch replaces it atomically.
#[derive(Default)]
pub struct PublishedMap(ArcSwap<CellMap>);

impl PublishedMap {
    /// Publishes a first map.
    pub fn new(map: CellMap) -> PublishedMap {
        PublishedMap(ArcSwap::from_pointee(map))
    }

    /// Returns the current map.
    pub fn load(&self) -> Arc<CellMap> {
        self.0.load_full()
    }

    /// Replaces the current map with a newer one. Returns false, and changes nothing, if `map` is
    /// not newer.
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
