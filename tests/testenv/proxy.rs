//! A TCP proxy that can reset, block, freeze, delay and refuse connections.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use smol::future;
use smol::io::{AsyncReadExt as _, AsyncWriteExt as _};
use smol::net::{TcpListener, TcpStream};
use smol::{Task, Timer};
use socket2::SockRef;

use super::{EXECUTOR, cancel, free_host};

/// The interval at which a frozen connection checks whether it is still frozen.
const FROZEN_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// How many of the first bytes from a client are kept to match them with a rule.
const FIRST_BYTES: usize = 600;

/// A direction of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// From the client to the upstream.
    Up,
    /// From the upstream to the client.
    Down,
}

/// Whether each direction of one connection, or of all, is frozen.
#[derive(Debug, Default)]
struct Freeze {
    up: AtomicBool,
    down: AtomicBool,
}

impl Freeze {
    fn set(&self, on: bool) {
        self.up.store(on, Ordering::Relaxed);
        self.down.store(on, Ordering::Relaxed);
    }

    fn of(&self, way: Way) -> &AtomicBool {
        match way {
            Way::Up => &self.up,
            Way::Down => &self.down,
        }
    }
}

/// How a proxy blocks a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Block {
    /// It is reset.
    Reset,
    /// It stays open and carries nothing.
    Silent,
}

/// How to block which connections; the predicate gets the first bytes that the client sent.
type Rule = (Block, Box<dyn Fn(&str) -> bool + Send>);

struct Shared {
    upstream: Mutex<Option<SocketAddr>>,
    rule: Mutex<Option<Rule>>,
    delay_ms: AtomicU64,
    all: Freeze,
    /// The connection of the next request that contains this text is closed in place of the response.
    lose: Mutex<Option<String>>,
    /// How many responses were dropped.
    lost: AtomicUsize,
    accepted: AtomicUsize,
    links: Mutex<Vec<Link>>,
}

struct Link {
    freeze: Arc<Freeze>,
    /// The first bytes that the client sent.
    first: Arc<Mutex<Vec<u8>>>,
    pump: Task<()>,
}

/// A running proxy. Its address is known from the start, and its upstream can be set later.
pub struct Proxy {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    /// `None` while the port is closed.
    accepting: Mutex<Option<Task<()>>>,
}

impl Proxy {
    /// Starts a proxy on a free port.
    pub fn start(upstream: Option<SocketAddr>) -> Self {
        let shared = Arc::new(Shared {
            upstream: Mutex::new(upstream),
            rule: Mutex::default(),
            delay_ms: AtomicU64::default(),
            all: Freeze::default(),
            lose: Mutex::default(),
            lost: AtomicUsize::default(),
            accepted: AtomicUsize::default(),
            links: Mutex::default(),
        });
        let (address, accepting) = listen((free_host(), 0).into(), &shared);
        Self { address, shared, accepting: Mutex::new(Some(accepting)) }
    }

    /// Sets the address that new connections are forwarded to.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        *self.shared.upstream.lock().unwrap() = Some(upstream);
    }

    /// Resets every open connection.
    pub fn reset(&self) {
        let links = std::mem::take(&mut *self.shared.links.lock().unwrap());
        cancel(links.into_iter().map(|link| link.pump));
    }

    /// Closes the port, so that new connections are refused, or opens it again.
    pub fn refuse(&self, on: bool) {
        let mut accepting = self.accepting.lock().unwrap();
        if on {
            cancel(accepting.take());
        } else if accepting.is_none() {
            *accepting = Some(listen(self.address, &self.shared).1);
        }
    }

    /// Blocks the open and new connections whose first bytes satisfy `rule`, which gets the first WebSocket message
    /// unmasked.
    pub fn block(&self, block: Block, rule: impl Fn(&str) -> bool + Send + 'static) {
        let mut links = self.shared.links.lock().unwrap();
        match block {
            Block::Reset => links.retain(|link| !rule(&readable(&link.first.lock().unwrap()))),
            Block::Silent => {
                let matching =
                    links.iter().filter(|link| rule(&readable(&link.first.lock().unwrap())));
                matching.for_each(|link| link.freeze.set(true));
            }
        }
        *self.shared.rule.lock().unwrap() = Some((block, Box::new(rule)));
    }

    /// Ends every block, refusal, freeze, delay and loss.
    pub fn heal(&self) {
        self.refuse(false);
        *self.shared.rule.lock().unwrap() = None;
        *self.shared.lose.lock().unwrap() = None;
        self.delay(Duration::ZERO);
        for way in [Way::Up, Way::Down] {
            self.freeze(way, false);
            self.freeze_open(way, false);
        }
    }

    /// Holds all bytes in one direction, also on new connections, without closing any.
    pub fn freeze(&self, way: Way, on: bool) {
        self.shared.all.of(way).store(on, Ordering::Relaxed);
    }

    /// Holds all bytes in one direction on the connections that are open now.
    pub fn freeze_open(&self, way: Way, on: bool) {
        for link in self.shared.links.lock().unwrap().iter() {
            link.freeze.of(way).store(on, Ordering::Relaxed);
        }
    }

    /// Delays every chunk of bytes in both directions.
    pub fn delay(&self, by: Duration) {
        self.shared.delay_ms.store(by.as_millis() as u64, Ordering::Relaxed);
    }

    /// Forwards the next request that contains `text`, but drops its response and closes the connection.
    pub fn lose_response_to(&self, text: &str) {
        *self.shared.lose.lock().unwrap() = Some(text.into());
    }

    /// How many responses were dropped.
    pub fn lost(&self) -> usize {
        self.shared.lost.load(Ordering::Relaxed)
    }

    /// How many connections were accepted.
    pub fn accepted(&self) -> usize {
        self.shared.accepted.load(Ordering::Relaxed)
    }
}

fn listen(address: SocketAddr, shared: &Arc<Shared>) -> (SocketAddr, Task<()>) {
    let listener = smol::block_on(TcpListener::bind(address)).unwrap();
    let bound = listener.local_addr().unwrap();
    (bound, EXECUTOR.spawn(accept(listener, Arc::clone(shared))))
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        reset_on_close(&stream);
        shared.accepted.fetch_add(1, Ordering::Relaxed);
        let freeze = Arc::new(Freeze::default());
        let first = Arc::<Mutex<Vec<u8>>>::default();
        let pump = pump(Arc::clone(&shared), stream, Arc::clone(&freeze), Arc::clone(&first));
        let mut links = shared.links.lock().unwrap();
        links.retain(|link| !link.pump.is_finished());
        links.push(Link { freeze, first, pump: EXECUTOR.spawn(pump) });
    }
}

fn reset_on_close(stream: &TcpStream) {
    drop(SockRef::from(stream).set_linger(Some(Duration::ZERO)));
    drop(stream.set_nodelay(true));
}

async fn pump(
    shared: Arc<Shared>,
    client: TcpStream,
    freeze: Arc<Freeze>,
    first: Arc<Mutex<Vec<u8>>>,
) {
    let Some(upstream) = *shared.upstream.lock().unwrap() else { return };
    let Ok(server) = TcpStream::connect(upstream).await else { return };
    reset_on_close(&server);
    let loses_response = AtomicBool::new(false);
    let lane = |way| Lane {
        shared: &shared,
        freeze: &freeze,
        loses_response: &loses_response,
        first: &first,
        way,
    };
    let (up, down) = (lane(Way::Up), lane(Way::Down));
    let up = up.copy(client.clone(), server.clone());
    let dropped = future::or(up, down.copy(server.clone(), client.clone())).await;
    if !dropped {
        for stream in [&client, &server] {
            drop(SockRef::from(stream).set_linger(None));
        }
    }
}

/// One direction of a connection.
struct Lane<'a> {
    shared: &'a Shared,
    freeze: &'a Freeze,
    loses_response: &'a AtomicBool,
    first: &'a Mutex<Vec<u8>>,
    way: Way,
}

impl Lane<'_> {
    /// Copies bytes until either end closes the connection or a fault drops some. Returns whether bytes were dropped.
    async fn copy(&self, mut from: TcpStream, mut to: TcpStream) -> bool {
        let mut chunk = vec![0; 16 << 10];
        loop {
            let read = from.read(&mut chunk).await.unwrap_or(0);
            let dropped = self.is_dropped(&chunk[..read]);
            self.hold().await;
            if read == 0 || dropped {
                return dropped;
            }
            if to.write_all(&chunk[..read]).await.is_err() {
                return false;
            }
        }
    }

    /// Waits for the delay and while the direction is frozen.
    async fn hold(&self) {
        let delay = self.shared.delay_ms.load(Ordering::Relaxed);
        if delay > 0 {
            Timer::after(Duration::from_millis(delay)).await;
        }
        let frozen = |freeze: &Freeze| freeze.of(self.way).load(Ordering::Relaxed);
        while frozen(self.freeze) || frozen(&self.shared.all) {
            Timer::after(FROZEN_CHECK_INTERVAL).await;
        }
    }

    fn is_dropped(&self, bytes: &[u8]) -> bool {
        match self.way {
            Way::Up => {
                let text = String::from_utf8_lossy(bytes);
                self.mark(&text);
                self.is_reset(bytes)
            }
            Way::Down => {
                let loses_response = self.loses_response.load(Ordering::Relaxed);
                self.shared.lost.fetch_add(usize::from(loses_response), Ordering::Relaxed);
                loses_response
            }
        }
    }

    /// Marks the connection if the response to this request is to be dropped.
    fn mark(&self, text: &str) {
        let mut lose = self.shared.lose.lock().unwrap();
        if lose.as_ref().is_some_and(|wanted| text.contains(wanted)) {
            *lose = None;
            self.loses_response.store(true, Ordering::Relaxed);
        }
    }

    /// Keeps the first bytes from the client and applies the rule to them. Returns whether the connection is reset.
    fn is_reset(&self, bytes: &[u8]) -> bool {
        let mut first = self.first.lock().unwrap();
        if first.len() >= FIRST_BYTES {
            return false;
        }
        first.extend_from_slice(bytes);
        let rule = self.shared.rule.lock().unwrap();
        let matching = rule.as_ref().filter(|(_, rule)| rule(&readable(&first)));
        match matching {
            Some((Block::Reset, _)) => true,
            Some((Block::Silent, _)) => {
                self.freeze.set(true);
                false
            }
            None => false,
        }
    }
}

/// The first bytes from a client as text: an HTTP head, and the WebSocket message after it, unmasked.
fn readable(bytes: &[u8]) -> String {
    let head = bytes.windows(4).position(|end| end == b"\r\n\r\n").map_or(bytes.len(), |at| at + 4);
    let mut text = String::from_utf8_lossy(&bytes[..head]).into_owned();
    let frame = &bytes[head..];
    let mask_at = match frame.get(1).map(|length| length & 0x7f) {
        Some(126) => 4,
        _ => 2,
    };
    if let Some((mask, payload)) = frame.get(mask_at..).and_then(|rest| rest.split_at_checked(4)) {
        let plain = payload.iter().zip(mask.iter().cycle()).map(|(byte, mask)| byte ^ mask);
        text.push_str(&String::from_utf8_lossy(&plain.collect::<Vec<_>>()));
    }
    text
}
