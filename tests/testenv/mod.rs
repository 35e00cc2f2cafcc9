//! Fakes of the store and the targets, and an environment of real `gypsumkeel serve` processes that use them.

#![allow(dead_code, reason = "each test file uses a part of it")]
#![allow(unused_imports, reason = "each test file uses a part of it")]

mod caller;
mod env;
mod process;
pub mod program;
mod proxy;
pub mod store;
mod target;

use std::net::{IpAddr, Ipv4Addr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, LazyLock};
use std::thread;
use std::time::{Duration, Instant};

use smol::{Executor, Task, Timer, future};

pub use caller::{Caller, Job, Reply};
pub use env::{Env, Setup};
pub use process::{Place, Vm};
pub use proxy::{Block, Proxy, Way};
pub use target::{Counts, Fault, Ledger, Mode, Target};

/// The threads that all fakes of a test process share.
const FAKE_THREADS: usize = 2;

/// The interval at which a wait checks its condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The executor of the fakes.
pub static EXECUTOR: LazyLock<Arc<Executor<'static>>> = LazyLock::new(|| {
    let executor = Arc::new(Executor::new());
    for _ in 0..FAKE_THREADS {
        let executor = Arc::clone(&executor);
        thread::spawn(move || smol::block_on(executor.run(future::pending::<()>())));
    }
    executor
});

/// A loopback address that nothing else uses. If addresses were shared, a process could bind a port that another one
/// closed, and get the calls of clients that still connect to it.
pub fn free_host() -> IpAddr {
    static NEXT: LazyLock<AtomicU32> = LazyLock::new(|| AtomicU32::new(fastrand::u32(..)));
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let [_, second, third, last] = number.to_be_bytes();
    // 127.0.x.y belongs to other programs, and 127.255.255.255 is the broadcast address.
    IpAddr::V4(Ipv4Addr::new(127, second.clamp(1, 254), third, last))
}

/// Cancels tasks of the fakes. When it returns, their sockets are closed.
fn cancel(tasks: impl IntoIterator<Item = Task<()>>) {
    future::block_on(async {
        for task in tasks {
            task.cancel().await;
        }
    });
}

/// Waits until a condition holds; fails the test after `limit`.
#[track_caller]
pub fn wait_until(what: &str, limit: Duration, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < limit, "not within {limit:?}: {what}");
        thread::sleep(CHECK_INTERVAL);
    }
}

/// Waits until an asynchronous condition holds; fails the test after `limit`.
pub async fn until<F: Future<Output = bool>>(
    what: &str,
    limit: Duration,
    mut condition: impl FnMut() -> F,
) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < limit, "not within {limit:?}: {what}");
        Timer::after(CHECK_INTERVAL).await;
    }
}
