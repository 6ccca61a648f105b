//! The stand-ins of `crates/stand-ins`, and a broker, which needs this crate's own codec.
#![allow(dead_code, unused_imports)]

pub(crate) mod broker;

pub(crate) use test_doubles::*;
