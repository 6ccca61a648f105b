//! The stand-ins of `crates/stand-ins`, and a broker, which needs this crate's own codec.
#![allow(dead_code, unused_imports)]

pub mod broker;

pub use test_doubles::*;
