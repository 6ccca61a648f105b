//! The settings of a server together with the names of classes, tenants and gauges that requests use.

use std::collections::BTreeMap;

use policy::{ClassId, Gauges, Settings, TenantId};
use serde::Deserialize;
use serde_json::Value;

use super::settings::SettingsIn;

/// The settings of a server, and the names that its requests and gauges use.
pub struct Site {
    /// All that bears on decisions.
    pub settings: Settings,
    /// Each request says how long its caller waits.
    pub passes_deadline: bool,
    /// Callers report when they stop waiting.
    pub tells_gone: bool,
    classes: BTreeMap<String, usize>,
    tenants: BTreeMap<String, u64>,
    gauges: Vec<String>,
}

impl Site {
    /// Reads the settings object of the simulator's first message or of a node's configuration.
    ///
    /// # Errors
    /// Says what is malformed.
    pub fn from_json(value: &Value) -> Result<Site, String> {
        SettingsIn::deserialize(value)
            .map(|settings| Site::new(&settings))
            .map_err(|e| e.to_string())
    }

    pub(super) fn new(settings: &SettingsIn) -> Site {
        let classes = settings.classes.iter().enumerate();
        let tenants = settings.tenants.iter().enumerate();
        Site {
            settings: settings.to_settings(),
            passes_deadline: settings.specifics.passes_deadline,
            tells_gone: settings.specifics.tells_gone,
            classes: classes
                .map(|(index, class)| (class.name.clone(), index))
                .collect(),
            tenants: tenants
                .map(|(index, tenant)| (tenant.name.clone(), index as u64))
                .collect(),
            gauges: settings.specifics.gauges.clone(),
        }
    }

    /// The number of class names.
    pub(super) fn class_count(&self) -> usize {
        self.classes.len()
    }

    /// The class of this name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.get(name).copied().map(ClassId)
    }

    /// The name of a class, empty past the last.
    pub fn class_name(&self, id: ClassId) -> &str {
        self.classes
            .iter()
            .find(|(_, index)| **index == id.0)
            .map_or("", |(name, _)| name)
    }

    /// The tenant of this name; one that the settings lack gets a stable number past all that they list.
    pub fn tenant(&self, name: &str) -> TenantId {
        let listed = self.tenants.get(name).copied();
        TenantId(listed.unwrap_or_else(|| hash_name(name)))
    }

    /// Keys of the listed tenants by their numbers, the same wherever the settings list them.
    pub fn tenant_keys(&self) -> Vec<u64> {
        let mut keys = vec![0; self.tenants.len()];
        for (name, number) in &self.tenants {
            if let Some(key) = keys.get_mut(*number as usize) {
                *key = hash_name(name);
            }
        }
        keys
    }

    /// Whether the settings list this tenant.
    pub fn knows_tenant(&self, name: &str) -> bool {
        self.tenants.contains_key(name)
    }

    /// Whether a request may name this tenant: any where the settings list none.
    pub fn may_name(&self, name: &str) -> bool {
        self.tenants.is_empty() || self.knows_tenant(name)
    }

    /// Readings in the order of the settings, by their names.
    pub fn gauges(&self, values: &[f64]) -> Gauges {
        let read = |name: &str| {
            let index = self.gauges.iter().position(|gauge| gauge == name)?;
            values.get(index).copied()
        };
        Gauges {
            cores_busy: read("cpu_busy"),
            runnable: read("runnable"),
            memory_used: read("mem_used"),
            connections: read("sockets"),
        }
    }
}

/// A stable number, past all listed tenants, for a name: FNV-1a with the top bit set.
fn hash_name(name: &str) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in name.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    }
    hash | 1 << 63
}
