//! The test doubles of `crates/test-doubles`, and a fake AMQP broker, which needs this crate's
//! codec.
#![allow(dead_code, unused_imports)] // Each test program uses a part of it.

pub(crate) mod broker;

pub(crate) use test_doubles::*;
