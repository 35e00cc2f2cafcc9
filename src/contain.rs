//! Containment of panics in libraries while they parse bytes from outside: such a panic costs the message or the
//! connection that the bytes came on, not the process.
//!
//! Only parsing is contained. Code that handles what was parsed is exempt, so a broken invariant of this program's own
//! state still ends the process; see [`crate::invariant`].

use std::cell::Cell;
use std::fmt;
use std::future::poll_fn;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::pin;
use std::task::Poll;

use serde::Deserialize;
use serde::de::Error as _;

thread_local! {
    static IS_ACTIVE: Cell<bool> = const { Cell::new(false) };
}

/// A library panicked on its input. The panic hook has logged where and why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Panicked;

impl fmt::Display for Panicked {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the parser failed on this input; send only what the protocol allows")
    }
}

impl std::error::Error for Panicked {}

/// Whether a panic on this thread is contained now.
pub fn is_active() -> bool {
    IS_ACTIVE.get()
}

/// Calls a parser; fails if it panics.
pub fn call<T>(parse: impl FnOnce() -> T) -> Result<T, Panicked> {
    let _scope = Scope::enter(true);
    catch_unwind(AssertUnwindSafe(parse)).map_err(|_| Panicked)
}

/// Runs a future that reads and parses; fails if it panics. It must not be polled again then.
pub fn future<T>(parse: impl Future<Output = T>) -> impl Future<Output = Result<T, Panicked>> {
    let mut parse = Box::pin(parse);
    poll_fn(move |context| match call(|| parse.as_mut().poll(context)) {
        Ok(Poll::Ready(value)) => Poll::Ready(Ok(value)),
        Ok(Poll::Pending) => Poll::Pending,
        Err(panicked) => Poll::Ready(Err(panicked)),
    })
}

/// Runs a future of this program's own that a contained library polls: its panics are not contained.
pub async fn exempt<T>(own: impl Future<Output = T>) -> T {
    let mut own = pin!(own);
    poll_fn(|context| {
        let _scope = Scope::enter(false);
        own.as_mut().poll(context)
    })
    .await
}

/// Parses JSON; fails if it has another form, or if the parser panics.
pub fn json<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, serde_json::Error> {
    call(|| serde_json::from_slice(bytes))
        .unwrap_or_else(|panicked| Err(serde_json::Error::custom(panicked)))
}

/// A span of time in which panics on this thread are contained or not. The one around it applies again afterwards.
struct Scope {
    outer: bool,
}

impl Scope {
    fn enter(is_active: bool) -> Self {
        Self { outer: IS_ACTIVE.replace(is_active) }
    }
}

impl Drop for Scope {
    fn drop(&mut self) {
        IS_ACTIVE.set(self.outer);
    }
}
