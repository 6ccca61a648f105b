//! The settings of a server, with the names of classes, tenants and gauges that requests use.

use std::collections::BTreeMap;

use policy::{ClassId, Gauges, Settings, TenantId};
use serde::Deserialize;
use serde_json::Value;

use super::settings::SettingsIn;

/// The settings of a server, and the names that its requests and gauges use.
pub struct Site {
    /// The policy's settings.
    pub settings: Settings,
    /// True if each request states how long its caller waits.
    pub passes_deadline: bool,
    /// True if callers report when they stop waiting.
    pub callers_report_stopped_waiting: bool,
    classes: BTreeMap<String, usize>,
    tenants: BTreeMap<String, u64>,
    gauges: Vec<String>,
}

impl Site {
    /// Reads the settings object of the simulator's first message or of a node's configuration.
    ///
    /// # Errors
    /// A description of what is malformed.
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
            callers_report_stopped_waiting: settings.specifics.callers_report_stopped_waiting,
            classes: classes
                .map(|(index, class)| (class.name.clone(), index))
                .collect(),
            tenants: tenants
                .map(|(index, tenant)| (tenant.name.clone(), index as u64))
                .collect(),
            gauges: settings.specifics.gauges.clone(),
        }
    }

    /// Returns the number of class names.
    pub(super) fn class_count(&self) -> usize {
        self.classes.len()
    }

    /// Returns the class with this name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.get(name).copied().map(ClassId)
    }

    /// Returns the name of a class, or an empty name past the last class.
    pub fn class_name(&self, id: ClassId) -> &str {
        self.classes
            .iter()
            .find(|(_, index)| **index == id.0)
            .map_or("", |(name, _)| name)
    }

    /// Returns the tenant with this name. A tenant that the settings don't list gets a stable
    /// number past those of the listed tenants.
    pub fn tenant(&self, name: &str) -> TenantId {
        let listed = self.tenants.get(name).copied();
        TenantId(listed.unwrap_or_else(|| hash_name(name)))
    }

    /// Returns the keys of the listed tenants in the order of their numbers. A tenant's key depends
    /// only on its name, not on its position in the settings.
    pub fn tenant_keys(&self) -> Vec<u64> {
        let mut keys = vec![0; self.tenants.len()];
        for (name, number) in &self.tenants {
            if let Some(key) = keys.get_mut(*number as usize) {
                *key = hash_name(name);
            }
        }
        keys
    }

    /// Returns whether the settings list this tenant.
    pub fn knows_tenant(&self, name: &str) -> bool {
        self.tenants.contains_key(name)
    }

    /// Returns whether a request may name this tenant. It may name any tenant if the settings list
    /// none.
    pub fn may_name(&self, name: &str) -> bool {
        self.tenants.is_empty() || self.knows_tenant(name)
    }

    /// Assigns readings, which are in the order of the settings, to their gauges.
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

/// Returns a stable number for a name, past those of all listed tenants: FNV-1a with the top bit
/// set.
fn hash_name(name: &str) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in name.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    }
    hash | 1 << 63
}
