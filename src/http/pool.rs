//! Kept-alive connections to one address, without a bound on how many are in use.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use crate::clock::{Clock, Millis};

use super::{Connection, Error, Request, Response};

/// What a [`Pool`] keeps, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The most idle connections.
    pub idle_max: usize,
    /// How long an idle connection is trusted. What lies between may have forgotten an older one.
    pub idle_timeout: Millis,
    /// How long a new connection may take.
    pub connect_timeout: Millis,
}

/// Kept-alive connections to one address.
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
    since: Millis,
}

impl Pool {
    /// A pool without connections.
    pub fn new(address: SocketAddr, limits: Limits) -> Self {
        Self {
            address,
            limits,
            clock: Clock::start(),
            idle: Mutex::default(),
            opened: AtomicU64::new(0),
        }
    }

    /// The address at the other end.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// How many connections were opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Sends one request and reads the whole answer. A connection that fails is reset, so that the
    /// request does not arrive after all, and the idle ones are closed, since what broke one has most likely broken all.
    pub async fn send(&self, question: &Request<'_>) -> Result<Response, Error> {
        let mut connection = self.connection().await?;
        match connection.send(question).await {
            Ok(answer) => {
                self.put_back(connection);
                Ok(answer)
            }
            Err(error) => {
                connection.abort();
                self.forget_idle();
                Err(error)
            }
        }
    }

    /// Closes all idle connections.
    pub fn forget_idle(&self) {
        for idle in self.idle().drain(..) {
            idle.connection.close();
        }
    }

    async fn connection(&self) -> Result<Connection, Error> {
        loop {
            let Some(idle) = self.idle().pop() else { break };
            let trusted = self.clock.now() - idle.since < self.limits.idle_timeout;
            if trusted && !idle.connection.is_stale().await {
                return Ok(idle.connection);
            }
            idle.connection.close();
        }
        self.opened.fetch_add(1, Ordering::Relaxed);
        Connection::open(self.address, self.limits.connect_timeout).await
    }

    fn put_back(&self, connection: Connection) {
        let mut idle = self.idle();
        if idle.len() < self.limits.idle_max {
            idle.push(Idle { connection, since: self.clock.now() });
        }
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
