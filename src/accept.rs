//! Accepting connections, also while the process has run out of file descriptors.

use smol::Timer;
use smol::net::{TcpListener, TcpStream};

use crate::clock::Millis;
use crate::event;

/// The pause after a failure, in which other tasks run and may free descriptors.
const PAUSE: Millis = Millis(20);

/// Accepts the next connection. The first failure in a row is logged.
pub async fn next(listener: &TcpListener) -> TcpStream {
    let mut is_failing = false;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) if !is_failing => event!(warn, "accept-failed", reason = error),
            Err(_) => {}
        }
        is_failing = true;
        Timer::after(PAUSE.duration()).await;
    }
}
