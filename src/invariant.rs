//! Assertions that stay on in release builds. A violated one ends the process.

use std::panic;
use std::process;

/// Panics with a line that names the violated invariant; see [`exit_on_panic`].
#[macro_export]
macro_rules! invariant {
    ($condition:expr, $($message:tt)+) => {
        assert!($condition, "invariant violated: {}", format_args!($($message)+))
    };
}

/// Makes every panic, on any thread, log one line and abort the process.
pub fn exit_on_panic() {
    panic::set_hook(Box::new(|info| {
        let place = info.location().map(ToString::to_string).unwrap_or_default();
        let text = info.payload_as_str().unwrap_or("panic");
        eprintln!("[gypsumkeel error]: event=abort place={place} reason={text:?}");
        log::error!("event=abort place={place} reason={text:?}");
        process::abort();
    }));
}
