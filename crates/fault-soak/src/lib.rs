//! A soak test: real nodes on loopback, faults drawn from a seed, and test doubles of the nodes'
//! peers that check the rules.
//!
//! - [`Plan`]: the site, the load and the faults of a seed, drawn without I/O or clock.
//! - [`run_seed`]: executes a plan and returns a [`SoakReport`] with the rule violations and the
//!   order of events. One execution is called a soak run, as opposed to the run of a request on the
//!   executor.
//!
//! The machine, the database and the clients of a node share a [`Journal`] of all requests, from
//! which each can check the messages that reach it. The node has no access to the journal.

mod client;
mod database;
mod driver;
mod error;
mod journal;
mod machine;
mod machine_world;
mod node_process;
mod open_requests;
mod plan;
mod play;
mod port;
mod report;
mod request_record;
mod site_settings;
mod window;

pub use error::SoakError;
pub use journal::Journal;
pub use open_requests::{OpenRequest, OpenRequests};
pub use plan::{Conditions, Fault, FaultKind, Plan, SitePlan, Stops};
pub use play::run_seed;
pub use report::SoakReport;
pub use request_record::{RequestEnd, RequestTotals, SentRequest, Violation};
pub use site_settings::ClassPlan;
pub use window::MeanWindow;
