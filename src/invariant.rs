//! Assertions that are also checked in release builds. A violation aborts the process.

use std::panic;
use std::process;

use crate::contain;
use crate::event;

/// The start of the message of every violated invariant.
#[doc(hidden)]
pub const PREFIX: &str = "invariant violated: ";

/// Panics with the message of the violated invariant unless the condition holds. With [`exit_on_panic`] the
/// process aborts.
#[macro_export]
macro_rules! invariant {
    ($condition:expr, $($message:tt)+) => {
        assert!($condition, "{}{}", $crate::invariant::PREFIX, format_args!($($message)+))
    };
}

/// Installs a panic hook: a panic on any thread logs one line and aborts the process, unless a library panicked while it
/// parsed input; see [`contain`].
pub fn exit_on_panic() {
    panic::set_hook(Box::new(|info| {
        let location = info.location().map(ToString::to_string).unwrap_or_default();
        let text = info.payload_as_str().unwrap_or("panic");
        if contain::is_active() && !text.starts_with(PREFIX) {
            event!(warn, "input-unparsed", place = location, reason = text);
            return;
        }
        eprintln!("[gypsumkeel error]: event=abort place={location} reason={text:?}");
        log::error!("event=abort place={location} reason={text:?}");
        process::abort();
    }));
}
