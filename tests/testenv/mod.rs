//! The stand-ins that tests start around the program.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod store;
