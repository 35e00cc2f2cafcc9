//! The small stand-ins, and an environment of real `gypsumkeel serve` processes among them.

#![allow(dead_code, reason = "each test file uses a part of it")]
#![allow(unused_imports, reason = "each test file uses a part of it")]

mod caller;
mod env;
mod process;
pub mod program;
mod proxy;
pub mod store;
mod target;

use std::sync::{Arc, LazyLock};
use std::thread;
use std::time::{Duration, Instant};

use smol::{Executor, Task, Timer, future};

pub use caller::{Caller, Job, Reply};
pub use env::{Env, Setup};
pub use process::{Place, Vm};
pub use proxy::{Proxy, Shut, Way};
pub use target::{Counts, Fault, Ledger, Mode, Target};

/// How many threads all stand-ins of a test process share.
const STAND_IN_THREADS: usize = 2;

/// How often a wait looks at its condition.
const LOOK: Duration = Duration::from_millis(5);

/// Runs the stand-ins.
pub static EXECUTOR: LazyLock<Arc<Executor<'static>>> = LazyLock::new(|| {
    let executor = Arc::new(Executor::new());
    for _ in 0..STAND_IN_THREADS {
        let executor = Arc::clone(&executor);
        thread::spawn(move || smol::block_on(executor.run(future::pending::<()>())));
    }
    executor
});

/// Cancels tasks of the stand-ins; when it returns their sockets are closed.
fn end(tasks: impl IntoIterator<Item = Task<()>>) {
    future::block_on(async {
        for task in tasks {
            task.cancel().await;
        }
    });
}

/// Waits for a condition; fails the test after `limit`.
#[track_caller]
pub fn wait_until(what: &str, limit: Duration, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < limit, "not within {limit:?}: {what}");
        thread::sleep(LOOK);
    }
}

/// Waits for a condition inside a future; fails the test after `limit`.
pub async fn until<F: Future<Output = bool>>(
    what: &str,
    limit: Duration,
    mut condition: impl FnMut() -> F,
) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < limit, "not within {limit:?}: {what}");
        Timer::after(LOOK).await;
    }
}
