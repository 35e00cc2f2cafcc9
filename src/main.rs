//! The program.
fn main() {}
