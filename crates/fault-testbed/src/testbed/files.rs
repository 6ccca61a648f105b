//! Writes the configuration files of processes.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::{json, Value};
use test_doubles::{node_config, FakeExecutor};

use super::{path_text, Testbed, FLEET_NAME};
use crate::error::TestbedError;

impl Testbed {
    /// Returns the path of the fleet file of a process.
    pub(crate) fn try_fleet_file_path(&self, name: &str) -> Result<PathBuf, TestbedError> {
        Ok(self.try_slot(name)?.file_path("fleet.json5"))
    }

    /// Writes the fleet file of a process that receives datagrams at `listen`.
    pub(super) fn write_fleet_file(
        &self,
        name: &str,
        listen: SocketAddr,
    ) -> Result<PathBuf, TestbedError> {
        let slot = self.try_slot(name)?;
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let mut text = format!(
            "{{ version: 1, fleet: \"{FLEET_NAME}\", name: \"{name}\", site: \"{}\", listen: \"{listen}\", seeds: [{}], {}",
            slot.plan.site,
            seeds.join(", "),
            slot.plan.fleet_fields
        );
        if !slot.plan.bypasses_proxy {
            let addresses = slot.proxy_addresses;
            let _ = write!(
                text,
                " advertise: \"{}\", serves: \"{}\",",
                addresses.datagrams, addresses.streams
            );
        }
        text.push_str(" }\n");
        let path = slot.file_path("fleet.json5");
        TestbedError::write_file(&path, &text)?;
        Ok(path)
    }

    /// Returns the configuration of a node.
    pub(super) fn node_settings(
        &self,
        name: &str,
        executor: &FakeExecutor,
        database: SocketAddr,
    ) -> Value {
        let mut settings = node_config(executor.address, database, self.endpoint_list.address);
        settings["name"] = json!(name);
        settings["admin"] = json!("127.0.0.1:0");
        settings
    }

    /// Writes the configuration file of a router and the cells file that it refers to, with all
    /// other processes as nodes of one cell.
    pub(super) fn write_router_file(
        &self,
        name: &str,
        fleet_file: Option<PathBuf>,
    ) -> Result<PathBuf, TestbedError> {
        let cells_path = self.write_cells_file(name)?;
        let fleet_field = fleet_file.map_or(String::new(), |path| {
            format!("fleet: '{}',", path_text(&path))
        });
        let text = format!(
            "{{ version: 1, listen: '127.0.0.1:0', cells: '{}', {fleet_field} classes: {{
               'statement-read': {{ once: false, deadline_ms: 1500 }},
               'settlement-post': {{ once: true, deadline_ms: 1500 }} }} }}",
            path_text(&cells_path)
        );
        let path = self.try_slot(name)?.file_path("router.json5");
        TestbedError::write_file(&path, &text)?;
        Ok(path)
    }

    fn write_cells_file(&self, router: &str) -> Result<PathBuf, TestbedError> {
        let nodes: Vec<String> = self
            .slots
            .iter()
            .filter(|(name, _)| *name != router)
            .map(|(name, slot)| {
                let (site, address) = (&slot.plan.site, slot.proxy_addresses.streams);
                format!("{name}: {{ site: '{site}', cell: 'all', address: '{address}' }}")
            })
            .collect();
        let text = format!(
            "{{ version: 1, strangers: true, cells: {{ all: {{}} }}, nodes: {{ {} }} }}",
            nodes.join(", ")
        );
        let path = self.try_slot(router)?.file_path("cells.json5");
        TestbedError::write_file(&path, &text)?;
        Ok(path)
    }
}
