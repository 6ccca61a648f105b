//! A `stateright` model of the migration of a tenant: a coordinator, a source and a target, clients
//! with one settlement each, and a network that loses, duplicates and reorders messages. It runs
//! the state machines of the crate `cells` themselves.

mod action;
mod model;
mod progress;
mod state;

pub use action::Action;
pub use model::{InjectedBug, MigrationModel};
pub use progress::{check_every_migration_can_finish, ProgressReport};
pub use state::{AttemptState, Client, ModelState};
