//! A bounded pool of connections to one target, and the pools of all targets.

use std::collections::HashMap;
use std::mem;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};

use arc_swap::ArcSwap;

use crate::clock::{Clock, Millis};
use crate::config::Document;
use crate::http::{Connection, Error};

/// The pools of all targets, replaced as a whole when the configuration changes.
#[derive(Debug)]
pub struct Pools {
    clock: Clock,
    pools: ArcSwap<HashMap<Arc<str>, Arc<Pool>>>,
}

impl Pools {
    /// Creates an empty set of pools.
    pub fn new(clock: Clock) -> Self {
        Self { clock, pools: ArcSwap::default() }
    }

    /// The pool of a target; `None` if the configuration does not list the target.
    pub fn get(&self, target: &str) -> Option<Arc<Pool>> {
        self.pools.load().get(target).cloned()
    }

    /// Replaces the pools by those of the document's targets. A target's connections are divided among `sharers`
    /// VMs, at least one for each. A target whose address stays the same keeps its pool.
    pub fn configure(&self, document: &Document, sharers: u32) {
        let old = self.pools.load();
        let pools = document.targets.iter().map(|target| {
            let existing =
                old.get(target.id.as_str()).filter(|pool| pool.address == target.address);
            let pool = existing
                .map_or_else(|| Arc::new(Pool::new(target.address, self.clock)), Arc::clone);
            let share = (target.connections / sharers.max(1)).max(1);
            pool.limit.store(share, Ordering::Relaxed);
            (Arc::from(target.id.as_str()), pool)
        });
        self.pools.store(Arc::new(pools.collect()));
    }
}

/// A bounded pool of keep-alive connections to one target.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    clock: Clock,
    /// The most connections that may be open.
    limit: AtomicU32,
    /// Connections that are open or being opened.
    open: AtomicU32,
    idle: Mutex<Vec<Idle>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    idle_since: Millis,
}

/// A connection that was taken from its pool. It counts against the pool's limit until it is dropped.
#[derive(Debug)]
pub struct Guard {
    pool: Arc<Pool>,
    /// `None` while the connection is being opened, and once it has been put back.
    connection: Option<Connection>,
    /// How long the connection was idle before; zero for a new one.
    pub idle: Millis,
}

impl Pool {
    fn new(address: SocketAddr, clock: Clock) -> Self {
        Self {
            address,
            clock,
            limit: AtomicU32::new(1),
            open: AtomicU32::new(0),
            idle: Mutex::default(),
        }
    }

    /// The address of the target.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes the most recently used idle connection that the target has not closed, if there is one.
    pub async fn reuse(self: &Arc<Self>) -> Option<Guard> {
        loop {
            let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop()?;
            let idle_time = self.clock.now() - idle.idle_since;
            let guard = Guard {
                pool: Arc::clone(self),
                connection: Some(idle.connection),
                idle: idle_time,
            };
            if !guard.connection().is_stale().await {
                return Some(guard);
            }
        }
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        let idle = mem::take(&mut *self.idle.lock().unwrap_or_else(PoisonError::into_inner));
        self.open.fetch_sub(idle.len() as u32, Ordering::Relaxed);
        for idle in idle {
            idle.connection.close();
        }
    }

    /// Opens a connection; fails with [`Error::Unsent`] if as many as the limit are open.
    pub async fn open(self: &Arc<Self>, timeout: Millis) -> Result<Guard, Error> {
        let limit = self.limit.load(Ordering::Relaxed);
        let next = |open: u32| (open < limit).then_some(open + 1);
        if self.open.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next).is_err() {
            return Err(Error::Unsent(format!(
                "all {limit} connections to the target at {} are in use",
                self.address
            )));
        }
        let mut guard = Guard { pool: Arc::clone(self), connection: None, idle: Millis::ZERO };
        guard.connection = Some(Connection::open(self.address, timeout).await?);
        Ok(guard)
    }
}

impl Guard {
    /// The connection, for inspection.
    pub fn connection(&self) -> &Connection {
        self.connection.as_ref().expect("a guard has a connection until it is put back")
    }

    /// The connection, for sending a request.
    pub fn connection_mut(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("a guard has a connection until it is put back")
    }

    /// Returns the connection to its pool for reuse.
    pub fn put_back(mut self) {
        if let Some(connection) = self.connection.take() {
            let idle = Idle { connection, idle_since: self.pool.clock.now() };
            self.pool.open.fetch_add(1, Ordering::Relaxed);
            self.pool.idle.lock().unwrap_or_else(PoisonError::into_inner).push(idle);
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.pool.open.fetch_sub(1, Ordering::Relaxed);
        if let Some(connection) = self.connection.take() {
            connection.close();
        }
    }
}
