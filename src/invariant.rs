//! Assertions that are also checked in release builds. A violation aborts the process.

use std::panic;
use std::process;

/// Panics with the message of the violated invariant unless the condition holds. With [`exit_on_panic`] the
/// process aborts.
#[macro_export]
macro_rules! invariant {
    ($condition:expr, $($message:tt)+) => {
        assert!($condition, "invariant violated: {}", format_args!($($message)+))
    };
}

/// Installs a panic hook: a panic on any thread logs one line and aborts the process.
pub fn exit_on_panic() {
    panic::set_hook(Box::new(|info| {
        let location = info.location().map(ToString::to_string).unwrap_or_default();
        let text = info.payload_as_str().unwrap_or("panic");
        eprintln!("[gypsumkeel error]: event=abort place={location} reason={text:?}");
        log::error!("event=abort place={location} reason={text:?}");
        process::abort();
    }));
}
