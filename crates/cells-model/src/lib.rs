//! The migration of a tenant as a model for `stateright`: a coordinator, a source and a target, clients with one
//! settlement each, and a network that loses, duplicates and reorders messages. The state machines are those of the crate
//! `cells` itself.

mod action;
mod liveness;
mod model;
mod state;

pub use action::Action;
pub use liveness::{check_every_migration_can_finish, Liveness};
pub use model::{InjectedBug, MigrationModel};
pub use state::{AttemptState, Client, ModelState};
