//! A billing node: it accepts requests over JSON-RPC or from AMQP queues, decides what runs, and
//! answers each once.
//!
//! [`Policy`] is a deterministic state machine. Pass it [`Event`]s with the current [`Time`]; it
//! appends the resulting [`Action`]s. It reads no clock, starts no thread and uses no randomness
//! other than the seed that it is given. A `Policy` is `Send`; one server drives it through
//! `&mut self`, while [`Sketch`] counts through `&self` and may be read from any thread.
//!
//! [`node`] drives it in real time, independent of any wire protocol. [`net`] implements the
//! platform's protocols, and [`amqp`] consumes from the queues that an [`inventory`] lists.

pub mod amqp;
pub mod fleet_membership;
pub mod held_work_file;
pub mod instance_lock;
pub mod inventory;
pub mod net;
pub mod node;
pub mod process_records;
pub mod run_id_files;
pub mod wire;

pub use policy::*;
