//! The executor of all asynchronous tasks of the process, and its threads.

use std::io;
use std::thread;

use smol::Task;
use smol::future::pending;

static EXECUTOR: smol::Executor<'static> = smol::Executor::new();

/// Starts `threads` worker threads that run spawned tasks; at least one.
pub fn start(threads: usize) -> io::Result<()> {
    for number in 0..threads.max(1) {
        let name = format!("worker-{number}");
        let run = || smol::block_on(EXECUTOR.run(pending::<()>()));
        thread::Builder::new().name(name).spawn(run)?;
    }
    Ok(())
}

/// Spawns a task on the executor. Dropping the handle cancels the task; detach it to let it run.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    EXECUTOR.spawn(future)
}

/// Runs `future` and all spawned tasks on the current thread until `future` completes. A VM with a fraction of
/// one core uses this in place of worker threads.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    smol::block_on(EXECUTOR.run(future))
}
