//! A pool of keep-alive connections to one address, without a limit on those in use.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use smol::Timer;
use smol::future::FutureExt as _;

use crate::clock::{Clock, Millis};

use super::{Connection, Error, Request, Response};

/// How long the probe of a new connection may go without a response before another connection is probed beside it.
const HEDGE_DELAY: Millis = Millis(15);

/// Limits of a [`Pool`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The number of idle connections that are kept.
    pub idle_max: usize,
    /// How long an idle connection may be reused: proxies and NATs on the path may drop the state of older ones.
    pub idle_timeout: Millis,
    /// How long opening a connection may take.
    pub connect_timeout: Millis,
}

/// A pool of keep-alive connections to one address.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    limits: Limits,
    clock: Clock,
    idle: Mutex<Vec<Idle>>,
    opened: AtomicU64,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    idle_since: Millis,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(address: SocketAddr, limits: Limits) -> Self {
        Self {
            address,
            limits,
            clock: Clock::start(),
            idle: Mutex::default(),
            opened: AtomicU64::new(0),
        }
    }

    /// The address that the connections lead to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number of connections opened so far, failed attempts included.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Sends a request and reads the whole response. A connection that fails is reset, so that the request does not
    /// arrive later. The idle connections without a response since the request was sent are then closed, as the same
    /// fault has most likely hit them too.
    pub async fn send(&self, request: &Request<'_>) -> Result<Response, Error> {
        let connection = match self.take_idle().await {
            Some(connection) => connection,
            None => self.open().await?,
        };
        self.exchange(connection, request).await
    }

    /// As [`Self::send`], over a connection on which a process has responded: an idle one, or a new one after a response to
    /// `probe`. The request is then executed by that process or by none: a listening socket may outlive its process, and
    /// the next one reads what was sent on connections that had not been accepted. Fails with [`Error::Unsent`] if the
    /// probe gets no response.
    pub async fn send_probed(
        &self,
        request: &Request<'_>,
        probe: &Request<'_>,
    ) -> Result<Response, Error> {
        let connection = match self.take_idle().await {
            Some(connection) => connection,
            None => self.open_probed(probe).await?,
        };
        self.exchange(connection, request).await
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        for idle in self.idle().drain(..) {
            idle.connection.close();
        }
    }

    async fn exchange(
        &self,
        mut connection: Connection,
        request: &Request<'_>,
    ) -> Result<Response, Error> {
        let sent_at = self.clock.now();
        match connection.send(request).await {
            Ok(response) => {
                self.put_back(connection);
                Ok(response)
            }
            Err(error) => {
                connection.abort();
                self.close_idle_since_before(sent_at);
                Err(error)
            }
        }
    }

    /// Closes the connections that have been idle since before `time`.
    fn close_idle_since_before(&self, time: Millis) {
        for idle in self.idle().extract_if(.., |idle| idle.idle_since <= time) {
            idle.connection.close();
        }
    }

    /// Takes the idle connection that was used last, and closes those that can't be used again. A process has responded on
    /// each idle connection.
    async fn take_idle(&self) -> Option<Connection> {
        loop {
            let idle = self.idle().pop()?;
            let is_fresh = self.clock.now() - idle.idle_since < self.limits.idle_timeout;
            if is_fresh && !idle.connection.is_stale().await {
                return Some(idle.connection);
            }
            idle.connection.close();
        }
    }

    async fn open(&self) -> Result<Connection, Error> {
        self.opened.fetch_add(1, Ordering::Relaxed);
        Connection::open(self.address, self.limits.connect_timeout).await
    }

    /// Opens a connection on which a process responds to `probe`. Another one is probed beside it if that takes long, as the
    /// probe may be lost.
    async fn open_probed(&self, probe: &Request<'_>) -> Result<Connection, Error> {
        let mut first = pin!(self.open_and_probe(probe));
        let prompt = async { Some(first.as_mut().await) };
        let late = async {
            Timer::after(HEDGE_DELAY.duration()).await;
            None
        };
        match prompt.or(late).await {
            Some(result) => result,
            None => first_success(first, self.open_and_probe(probe)).await,
        }
    }

    async fn open_and_probe(&self, probe: &Request<'_>) -> Result<Connection, Error> {
        let mut connection = self.open().await?;
        match connection.send(probe).await {
            Ok(_) => Ok(connection),
            Err(error) => {
                connection.abort();
                let why = error.into_reason();
                Err(Error::Unsent(format!("the probe of a new connection got no response: {why}")))
            }
        }
    }

    fn put_back(&self, connection: Connection) {
        let mut idle = self.idle();
        if idle.len() < self.limits.idle_max {
            idle.push(Idle { connection, idle_since: self.clock.now() });
        }
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits for the first of two futures that succeeds; fails if both fail.
async fn first_success<T, E>(
    first: impl Future<Output = Result<T, E>>,
    second: impl Future<Output = Result<T, E>>,
) -> Result<T, E> {
    let (mut first, mut second) = (pin!(first), pin!(second));
    let first_result = async { (first.as_mut().await, true) };
    let second_result = async { (second.as_mut().await, false) };
    match first_result.or(second_result).await {
        (Ok(value), _) => Ok(value),
        (Err(_), true) => second.await,
        (Err(_), false) => first.await,
    }
}
