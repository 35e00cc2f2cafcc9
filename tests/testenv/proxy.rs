//! A TCP proxy that cuts, freezes, delays and refuses connections on command.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use smol::future;
use smol::io::{AsyncReadExt as _, AsyncWriteExt as _};
use smol::net::{TcpListener, TcpStream};
use smol::{Task, Timer};
use socket2::SockRef;

use super::{EXECUTOR, end, free_host};

/// How often a frozen connection looks whether it may go on.
const FROZEN_STEP: Duration = Duration::from_millis(5);

/// How much of what a connecting end sends is kept to tell who it is.
const FIRST_BYTES: usize = 600;

/// The two directions of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// From the end that connects to the end that listens.
    Up,
    /// Back.
    Down,
}

/// Switches for all connections, or for one.
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
    /// Requests that hold this text pass, and their answers are dropped with the connection.
    lose: Mutex<Option<String>>,
    lost: AtomicUsize,
    accepted: AtomicUsize,
    links: Mutex<Vec<Link>>,
}

struct Link {
    freeze: Arc<Freeze>,
    /// What the connecting end sent first.
    first: Arc<Mutex<Vec<u8>>>,
    pump: Task<()>,
}

/// A running proxy. Its address is fixed from the start; what stands behind may be named later.
pub struct Proxy {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    /// `None` while the port is closed.
    accepting: Mutex<Option<Task<()>>>,
}

impl Proxy {
    /// Starts one on a free port.
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

    /// Names what stands behind it.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        *self.shared.upstream.lock().unwrap() = Some(upstream);
    }

    /// Resets every open connection.
    pub fn reset(&self) {
        let links = std::mem::take(&mut *self.shared.links.lock().unwrap());
        end(links.into_iter().map(|link| link.pump));
    }

    /// Closes the port, so that new connections are refused, or opens it again.
    pub fn refuse(&self, on: bool) {
        let mut accepting = self.accepting.lock().unwrap();
        if on {
            end(accepting.take());
        } else if accepting.is_none() {
            *accepting = Some(listen(self.address, &self.shared).1);
        }
    }

    /// Shuts out, now and from now on, the connections whose first bytes meet `rule`. The first
    /// WebSocket message counts as unmasked.
    pub fn block(&self, block: Block, rule: impl Fn(&str) -> bool + Send + 'static) {
        let mut links = self.shared.links.lock().unwrap();
        match block {
            Block::Reset => links.retain(|link| !rule(&readable(&link.first.lock().unwrap()))),
            Block::Silent => {
                let hit = links.iter().filter(|link| rule(&readable(&link.first.lock().unwrap())));
                hit.for_each(|link| link.freeze.set(true));
            }
        }
        *self.shared.rule.lock().unwrap() = Some((block, Box::new(rule)));
    }

    /// Ends every cut, refusal, freeze, delay and loss.
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

    /// Stops all bytes one way, on new connections too; nothing is closed.
    pub fn freeze(&self, way: Way, on: bool) {
        self.shared.all.of(way).store(on, Ordering::Relaxed);
    }

    /// Stops the bytes of the connections open now; new ones work.
    pub fn freeze_open(&self, way: Way, on: bool) {
        for link in self.shared.links.lock().unwrap().iter() {
            link.freeze.of(way).store(on, Ordering::Relaxed);
        }
    }

    /// Holds back every chunk of bytes.
    pub fn delay(&self, by: Duration) {
        self.shared.delay_ms.store(by.as_millis() as u64, Ordering::Relaxed);
    }

    /// Lets the next request that holds `text` pass, and drops its answer and the connection.
    pub fn lose_response_to(&self, text: &str) {
        *self.shared.lose.lock().unwrap() = Some(text.into());
    }

    /// How many answers were dropped.
    pub fn lost(&self) -> usize {
        self.shared.lost.load(Ordering::Relaxed)
    }

    /// How many connections were made.
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
    let doomed = AtomicBool::new(false);
    let lane = |way| Lane { shared: &shared, freeze: &freeze, doomed: &doomed, first: &first, way };
    let (up, down) = (lane(Way::Up), lane(Way::Down));
    let up = up.copy(client.clone(), server.clone());
    let dropped = future::or(up, down.copy(server.clone(), client.clone())).await;
    if !dropped {
        for stream in [&client, &server] {
            drop(SockRef::from(stream).set_linger(None));
        }
    }
}

struct Lane<'a> {
    shared: &'a Shared,
    freeze: &'a Freeze,
    doomed: &'a AtomicBool,
    first: &'a Mutex<Vec<u8>>,
    way: Way,
}

impl Lane<'_> {
    /// Copies until either end closes; whichever lane ends first closes the whole connection. True
    /// if bytes were dropped on command.
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

    async fn hold(&self) {
        let delay = self.shared.delay_ms.load(Ordering::Relaxed);
        if delay > 0 {
            Timer::after(Duration::from_millis(delay)).await;
        }
        let frozen = |freeze: &Freeze| freeze.of(self.way).load(Ordering::Relaxed);
        while frozen(self.freeze) || frozen(&self.shared.all) {
            Timer::after(FROZEN_STEP).await;
        }
    }

    fn is_dropped(&self, bytes: &[u8]) -> bool {
        match self.way {
            Way::Up => {
                let text = String::from_utf8_lossy(bytes);
                self.doom(&text);
                self.is_refused(bytes)
            }
            Way::Down => {
                let doomed = self.doomed.load(Ordering::Relaxed);
                self.shared.lost.fetch_add(usize::from(doomed), Ordering::Relaxed);
                doomed
            }
        }
    }

    fn doom(&self, text: &str) {
        let mut lose = self.shared.lose.lock().unwrap();
        if lose.as_ref().is_some_and(|wanted| text.contains(wanted)) {
            *lose = None;
            self.doomed.store(true, Ordering::Relaxed);
        }
    }

    fn is_refused(&self, bytes: &[u8]) -> bool {
        let mut first = self.first.lock().unwrap();
        if first.len() >= FIRST_BYTES {
            return false;
        }
        first.extend_from_slice(bytes);
        let rule = self.shared.rule.lock().unwrap();
        let hit = rule.as_ref().filter(|(_, rule)| rule(&readable(&first)));
        match hit {
            Some((Block::Reset, _)) => true,
            Some((Block::Silent, _)) => {
                self.freeze.set(true);
                false
            }
            None => false,
        }
    }
}

/// What a connecting end sent first, as text: an HTTP head, and a WebSocket message after it unmasked.
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
