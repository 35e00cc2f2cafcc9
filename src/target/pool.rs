//! The connections to one target, and the pools of all targets.

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
    /// No pools yet.
    pub fn new(clock: Clock) -> Self {
        Self { clock, pools: ArcSwap::default() }
    }

    /// The pool of a target, if the configuration has it.
    pub fn get(&self, target: &str) -> Option<Arc<Pool>> {
        self.pools.load().get(target).cloned()
    }

    /// Makes pools for the document's targets, whose connections `sharers` VMs share. A target whose
    /// address stays the same keeps its connections.
    pub fn configure(&self, document: &Document, sharers: u32) {
        let old = self.pools.load();
        let pools = document.targets.iter().map(|target| {
            let kept = old.get(target.id.as_str()).filter(|pool| pool.address == target.address);
            let pool =
                kept.map_or_else(|| Arc::new(Pool::new(target.address, self.clock)), Arc::clone);
            let part = (target.connections / sharers.max(1)).max(1);
            pool.limit.store(part, Ordering::Relaxed);
            (Arc::from(target.id.as_str()), pool)
        });
        self.pools.store(Arc::new(pools.collect()));
    }
}

/// The connections to one target.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    clock: Clock,
    limit: AtomicU32,
    open: AtomicU32,
    idle: Mutex<Vec<Idle>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Millis,
}

/// A connection taken from its pool, which counts it until it is dropped or put back.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<Pool>,
    /// `None` only while being put back.
    connection: Option<Connection>,
    /// How long the connection was idle; zero for a new one.
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

    /// Takes the idle connection that was used last, if one is still sound.
    pub async fn reuse(self: &Arc<Self>) -> Option<Lease> {
        loop {
            let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop()?;
            let spent = self.clock.now() - idle.since;
            let lease =
                Lease { pool: Arc::clone(self), connection: Some(idle.connection), idle: spent };
            if !lease.connection().is_stale().await {
                return Some(lease);
            }
        }
    }

    /// Closes all idle connections.
    pub fn forget_idle(&self) {
        let idle = mem::take(&mut *self.idle.lock().unwrap_or_else(PoisonError::into_inner));
        self.open.fetch_sub(idle.len() as u32, Ordering::Relaxed);
        for idle in idle {
            idle.connection.close();
        }
    }

    /// Opens a new connection, unless the target has as many as it takes.
    pub async fn open(self: &Arc<Self>, timeout: Millis) -> Result<Lease, Error> {
        let limit = self.limit.load(Ordering::Relaxed);
        let free = |open: u32| (open < limit).then_some(open + 1);
        if self.open.fetch_update(Ordering::Relaxed, Ordering::Relaxed, free).is_err() {
            return Err(Error::Unsent(format!("all {limit} connections are in use")));
        }
        let mut lease = Lease { pool: Arc::clone(self), connection: None, idle: Millis::ZERO };
        lease.connection = Some(Connection::open(self.address, timeout).await?);
        Ok(lease)
    }
}

impl Lease {
    /// The connection.
    pub fn connection(&self) -> &Connection {
        self.connection.as_ref().expect("a lease holds its connection until it ends")
    }

    /// The connection, to ask on.
    pub fn connection_mut(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("a lease holds its connection until it ends")
    }

    /// Puts a sound connection back for reuse.
    pub fn put_back(mut self) {
        if let Some(connection) = self.connection.take() {
            let idle = Idle { connection, since: self.pool.clock.now() };
            self.pool.open.fetch_add(1, Ordering::Relaxed);
            self.pool.idle.lock().unwrap_or_else(PoisonError::into_inner).push(idle);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.pool.open.fetch_sub(1, Ordering::Relaxed);
        if let Some(connection) = self.connection.take() {
            connection.close();
        }
    }
}
