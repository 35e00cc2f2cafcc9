//! What the callers of a process hold: their connections, and the bytes that they have sent and that are not answered yet.
//!
//! Nothing is closed while there is room. When a limit is reached, the connection that holds most and has made no progress
//! for longest is closed, so that callers that send and read at an ordinary pace are served beside those that don't.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use event_listener::Event;
use smol::Timer;
use smol::future::FutureExt as _;

use crate::clock::{Clock, Millis};
use crate::event;

/// The time without progress after which a connection may be closed in favour of another.
const STALL_MIN: Millis = Millis(1000);

/// The longest time that a request waits for bytes that others hold.
const WAIT_MAX: Millis = Millis(1500);

/// How often a waiting request looks again for a connection that may be closed.
const RETRY_INTERVAL: Millis = Millis(50);

/// The shortest time between two log lines about closed connections.
const LOG_INTERVAL: Millis = Millis(1000);

/// The connections of all servers of a process, and the bytes that their callers hold.
#[derive(Debug)]
pub struct Holdings {
    clock: Clock,
    bytes_max: u64,
    bytes: AtomicU64,
    next_id: AtomicU64,
    holders: Mutex<BTreeMap<u64, Arc<Holder>>>,
    freed: Event,
    evicted: AtomicU64,
    logged_at: AtomicU64,
}

/// One connection.
#[derive(Debug, Default)]
struct Holder {
    /// The id of the server that accepted the connection.
    server: u64,
    bytes: AtomicU64,
    /// When the caller last sent or read something, in milliseconds of the clock.
    active_at: AtomicU64,
    /// Whether the caller waits for this process.
    is_served: AtomicBool,
    is_evicted: AtomicBool,
    evict: Event,
}

/// Why a connection is closed in favour of another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Shortage {
    /// Of bytes.
    Bytes,
    /// Of connections to the server with this id.
    Connections(u64),
}

impl Default for Holdings {
    fn default() -> Self {
        Self::new(u64::MAX)
    }
}

impl Holdings {
    /// Holdings of up to `bytes_max` bytes.
    pub fn new(bytes_max: u64) -> Self {
        Self {
            clock: Clock::start(),
            bytes_max,
            bytes: AtomicU64::new(0),
            next_id: AtomicU64::new(1),
            holders: Mutex::default(),
            freed: Event::new(),
            evicted: AtomicU64::new(0),
            logged_at: AtomicU64::new(0),
        }
    }

    /// The bytes that callers hold.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// The number of connections that were closed in favour of others.
    pub fn evicted(&self) -> u64 {
        self.evicted.load(Ordering::Relaxed)
    }

    /// A new id, of a server or a connection.
    pub(super) fn new_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Records a connection that the server with the id `server` has accepted.
    pub(super) fn add(self: &Arc<Self>, server: u64) -> Held {
        let holder = Arc::new(Holder { server, ..Holder::default() });
        let id = self.new_id();
        let held = Held { holdings: Arc::clone(self), holder: Arc::clone(&holder), id };
        held.record_progress();
        self.lock().insert(id, holder);
        held
    }

    /// Closes a connection to a server that has made no progress for too long. Returns whether there was one.
    pub(super) fn evict_connection(&self, server: u64) -> bool {
        self.evict(Shortage::Connections(server))
    }

    fn evict(&self, shortage: Shortage) -> bool {
        let now = self.clock.now();
        let holders = self.lock();
        let candidates = holders.values().filter(|holder| holder.may_be_evicted(now, shortage));
        let Some(holder) = candidates.max_by_key(|holder| holder.rank(now, shortage)) else {
            return false;
        };
        holder.is_evicted.store(true, Ordering::Relaxed);
        holder.evict.notify(usize::MAX);
        drop(holders);
        let evicted = self.evicted.fetch_add(1, Ordering::Relaxed) + 1;
        let logged_at = Millis(self.logged_at.load(Ordering::Relaxed));
        if now - logged_at >= LOG_INTERVAL || logged_at == Millis::ZERO {
            self.logged_at.store(now.0.max(1), Ordering::Relaxed);
            event!(warn, "callers-evicted", total = evicted, held_bytes = self.bytes());
        }
        true
    }

    fn try_take(&self, bytes: u64) -> bool {
        let add = |held: u64| held.checked_add(bytes).filter(|sum| *sum <= self.bytes_max);
        self.bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<u64, Arc<Holder>>> {
        self.holders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Holder {
    fn may_be_evicted(&self, now: Millis, shortage: Shortage) -> bool {
        let is_concerned = match shortage {
            Shortage::Bytes => self.bytes.load(Ordering::Relaxed) > 0,
            Shortage::Connections(server) => self.server == server,
        };
        is_concerned
            && self.idle(now) >= STALL_MIN
            && !self.is_served.load(Ordering::Relaxed)
            && !self.is_evicted.load(Ordering::Relaxed)
    }

    /// The order in which connections are closed, the highest first.
    fn rank(&self, now: Millis, shortage: Shortage) -> u64 {
        match shortage {
            Shortage::Bytes => self.idle(now).0.saturating_mul(self.bytes.load(Ordering::Relaxed)),
            Shortage::Connections(_) => self.idle(now).0,
        }
    }

    fn idle(&self, now: Millis) -> Millis {
        now - Millis(self.active_at.load(Ordering::Relaxed))
    }
}

/// A connection and what its caller holds, all of which is given back when this is dropped.
#[derive(Debug)]
pub struct Held {
    holdings: Arc<Holdings>,
    holder: Arc<Holder>,
    id: u64,
}

impl Held {
    /// Records that the caller has sent or read something.
    pub(super) fn record_progress(&self) {
        let now = self.holdings.clock.now();
        self.holder.active_at.store(now.0, Ordering::Relaxed);
    }

    /// Records whether the caller waits for this process, and not the other way round.
    pub(super) fn set_served(&self, is_served: bool) {
        self.holder.is_served.store(is_served, Ordering::Relaxed);
        self.record_progress();
    }

    /// Takes bytes, as soon as others have given back enough. Returns false if that takes too long.
    pub async fn take(&self, bytes: u64) -> bool {
        if self.try_take(bytes) {
            return true;
        }
        let deadline = self.holdings.clock.now() + WAIT_MAX;
        self.set_served(true);
        let is_taken = loop {
            let freed = self.holdings.freed.listen();
            if self.try_take(bytes) {
                break true;
            }
            if self.holdings.clock.now() >= deadline {
                break false;
            }
            self.holdings.evict(Shortage::Bytes);
            let retry = async {
                Timer::after(RETRY_INTERVAL.duration()).await;
            };
            freed.or(retry).await;
        };
        self.set_served(false);
        is_taken
    }

    /// Gives back all bytes.
    pub(super) fn give_back(&self) {
        let bytes = self.holder.bytes.swap(0, Ordering::Relaxed);
        if bytes > 0 {
            self.holdings.bytes.fetch_sub(bytes, Ordering::Relaxed);
            self.holdings.freed.notify(usize::MAX);
        }
    }

    /// Returns once the connection must be closed in favour of another.
    pub(super) async fn wait_until_evicted(&self) {
        loop {
            let evicted = self.holder.evict.listen();
            if self.holder.is_evicted.load(Ordering::Relaxed) {
                return;
            }
            evicted.await;
        }
    }

    fn try_take(&self, bytes: u64) -> bool {
        let is_taken = self.holdings.try_take(bytes);
        if is_taken {
            self.holder.bytes.fetch_add(bytes, Ordering::Relaxed);
        }
        is_taken
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.give_back();
        self.holdings.lock().remove(&self.id);
    }
}
