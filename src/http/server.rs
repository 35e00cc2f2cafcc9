//! The HTTP server for callers: one asynchronous task per connection, with limits on connections, times and bytes.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use async_h1::server::{ConnectionStatus, Server};
use event_listener::Event;
use http_types::{Request, Response};
use smol::Timer;
use smol::future::{self, FutureExt as _};
use smol::io::AsyncWriteExt as _;
use smol::net::{TcpListener, TcpStream};

use crate::accept;
use crate::clock::Millis;
use crate::contain;
use crate::job::{Execution, Failure, Reason};
use crate::runtime;

use super::holdings::{Held, Holdings};
use super::limited::Limited;
use super::problem;

/// How often a connection with unread bytes is checked for having been closed by the caller.
const CLOSE_CHECK_INTERVAL: Millis = Millis(50);

/// Limits for callers.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// The number of connections that may be open at once.
    pub connections_max: usize,
    /// How long the head of a request may take to arrive. The time that a connection is idle before it counts too.
    pub head_timeout: Millis,
}

/// How many connections over the limit may be open while those are being closed that make room for them.
const EXCESS_MAX: usize = 16;

/// The connections and requests of a server.
#[derive(Debug)]
pub struct Traffic {
    holdings: Arc<Holdings>,
    /// The server's id in `holdings`.
    id: u64,
    open: AtomicUsize,
    busy: AtomicUsize,
    is_closing: AtomicBool,
    close: Event,
}

impl Default for Traffic {
    fn default() -> Self {
        Self::new(Arc::default())
    }
}

impl Traffic {
    /// The traffic of a server whose callers' connections and bytes count in `holdings`.
    pub fn new(holdings: Arc<Holdings>) -> Self {
        let id = holdings.new_id();
        Self {
            holdings,
            id,
            open: AtomicUsize::new(0),
            busy: AtomicUsize::new(0),
            is_closing: AtomicBool::new(false),
            close: Event::new(),
        }
    }

    /// What the callers of this server and of others in the process hold.
    pub const fn holdings(&self) -> &Arc<Holdings> {
        &self.holdings
    }

    /// Whether another connection may be served beside `open` ones. At the limit, one that makes no progress is closed.
    fn admits(&self, open: usize, connections_max: usize) -> bool {
        open < connections_max
            || (open < connections_max + EXCESS_MAX && self.holdings.evict_connection(self.id))
    }

    /// The number of open connections, those that are being refused included.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Closes idle connections, and from now on every connection once it is idle.
    pub fn close_idle(&self) {
        self.is_closing.store(true, Ordering::Relaxed);
        self.close.notify(usize::MAX);
    }

    fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Relaxed)
    }

    /// The number of requests whose responses are not fully written yet.
    pub fn busy(&self) -> usize {
        self.busy.load(Ordering::Relaxed)
    }
}

/// The connection that a request came on, among the request's extensions.
#[derive(Clone, Debug)]
pub struct Caller {
    stream: TcpStream,
    held: Arc<Held>,
}

impl Caller {
    /// What the caller holds.
    pub fn held(&self) -> &Held {
        &self.held
    }

    /// Records that the request has been read whole, so that the caller waits for the response.
    pub(super) fn begin_service(&self) {
        self.held.set_served(true);
    }

    /// Whether the caller has closed or reset the connection, once the request has been read whole. Nobody waits for the
    /// response then.
    pub async fn has_left(&self) -> bool {
        let mut byte = [0];
        let peek = self.stream.peek(&mut byte);
        matches!(future::poll_once(peek).await, Some(Ok(0) | Err(_)))
    }
}

/// Responds to requests.
pub trait Handler: fmt::Debug + Send + Sync {
    /// Responds to one request.
    fn answer(self: Arc<Self>, request: Request) -> Pin<Box<dyn Future<Output = Response> + Send>>;

    /// The largest request body, in bytes.
    fn body_max(&self) -> u64;
}

/// Accepts and serves connections, forever.
pub async fn serve(
    listener: TcpListener,
    rules: Rules,
    traffic: Arc<Traffic>,
    handler: Arc<dyn Handler>,
) {
    loop {
        let stream = accept::next(&listener).await;
        drop(stream.set_nodelay(true));
        let handler = Arc::clone(&handler);
        let traffic = Arc::clone(&traffic);
        runtime::spawn(async move {
            let already_open = traffic.open.fetch_add(1, Ordering::Relaxed);
            if traffic.admits(already_open, rules.connections_max) {
                serve_connection(stream, rules, &traffic, handler).await;
            } else {
                refuse_connection(stream).await;
            }
            traffic.open.fetch_sub(1, Ordering::Relaxed);
        })
        .detach();
    }
}

/// Responds to a connection over the limit without reading from it.
async fn refuse_connection(mut stream: TcpStream) {
    let detail = "too many connections; reuse one, or try another VM";
    let failure = Failure::new(Reason::Unavailable, Execution::Unknown, detail);
    drop(stream.write_all(&problem::raw(&failure)).await);
}

async fn serve_connection(
    stream: TcpStream,
    rules: Rules,
    traffic: &Arc<Traffic>,
    handler: Arc<dyn Handler>,
) {
    let has_request = Arc::new(AtomicBool::new(false));
    let must_close = Arc::new(AtomicBool::new(false));
    let has_failed = Arc::new(AtomicBool::new(false));
    let held = Arc::new(traffic.holdings.add(traffic.id));
    let limited = Limited::new(stream.clone(), handler.body_max(), Some(Arc::clone(&held)));
    let request_started = Arc::new(Event::new());
    let endpoint = {
        let has_request = Arc::clone(&has_request);
        let has_failed = Arc::clone(&has_failed);
        let must_close = Arc::clone(&must_close);
        let request_started = Arc::clone(&request_started);
        let handler = Arc::clone(&handler);
        let traffic = Arc::clone(traffic);
        let caller = Caller { stream: stream.clone(), held: Arc::clone(&held) };
        move |mut request: Request| {
            has_request.store(true, Ordering::Relaxed);
            request_started.notify(1);
            traffic.busy.fetch_add(1, Ordering::Relaxed);
            request.ext_mut().insert(caller.clone());
            let response = Arc::clone(&handler).answer(request);
            let has_failed = Arc::clone(&has_failed);
            let must_close = Arc::clone(&must_close);
            let held = Arc::clone(&caller.held);
            async move {
                let response = contain::exempt(response).await;
                held.set_served(false);
                let close = response.header("Connection").is_some_and(|value| value == "close");
                must_close.store(close, Ordering::Relaxed);
                has_failed.store(!response.status().is_success(), Ordering::Relaxed);
                Ok(response)
            }
        }
    };
    let mut server = Server::new(limited.clone(), endpoint);
    loop {
        limited.begin(handler.body_max());
        held.give_back();
        has_request.store(false, Ordering::Relaxed);
        has_failed.store(false, Ordering::Relaxed);
        let stalled = async {
            wait_until_stalled(rules.head_timeout, &has_request, &has_failed).await;
            Ok(ConnectionStatus::Close)
        };
        let started = request_started.listen();
        let abandoned = async {
            started.await;
            wait_until_closed(&stream).await;
            Ok(ConnectionStatus::Close)
        };
        let evicted = async {
            held.wait_until_evicted().await;
            Ok(ConnectionStatus::Close)
        };
        let close = traffic.close.listen();
        let closed = async {
            if !traffic.is_closing() {
                close.await;
            }
            if has_request.load(Ordering::Relaxed) {
                future::pending::<()>().await;
            }
            Ok(ConnectionStatus::Close)
        };
        let accepted = async {
            let accepted = contain::future(server.accept_one()).await;
            accepted.unwrap_or_else(|panicked| Err(http_types::Error::new(400, panicked)))
        };
        let result = accepted.or(stalled).or(abandoned).or(evicted).or(closed).await;
        if has_request.load(Ordering::Relaxed) {
            traffic.busy.fetch_sub(1, Ordering::Relaxed);
        }
        match result {
            Ok(ConnectionStatus::KeepAlive) if !must_close.load(Ordering::Relaxed) => {}
            Ok(ConnectionStatus::Close | ConnectionStatus::KeepAlive) => break,
            Err(error) => {
                if !has_request.load(Ordering::Relaxed) {
                    refuse_request(stream, &error).await;
                }
                return;
            }
        }
    }
    drop(stream.shutdown(std::net::Shutdown::Write));
}

/// Returns once the caller has closed the connection while its request is being handled, so that nobody waits for
/// the response.
async fn wait_until_closed(stream: &TcpStream) {
    let mut byte = [0];
    // Unread bytes are the rest of the body or the next request. The end of the stream only shows after them.
    while stream.peek(&mut byte).await.is_ok_and(|bytes| bytes > 0) {
        Timer::after(CLOSE_CHECK_INTERVAL.duration()).await;
    }
}

/// Returns when no head has arrived within `timeout`, or when an error response has been written for at least that
/// long and the HTTP library still waits for the rest of a body that nobody reads.
async fn wait_until_stalled(timeout: Millis, has_request: &AtomicBool, has_failed: &AtomicBool) {
    let mut failed_before = false;
    loop {
        Timer::after(timeout.duration()).await;
        if failed_before || !has_request.load(Ordering::Relaxed) {
            return;
        }
        failed_before = has_failed.load(Ordering::Relaxed);
    }
}

/// Responds to a request whose head can't be read.
async fn refuse_request(mut stream: TcpStream, error: &http_types::Error) {
    let detail = format!("the request can't be read: {error}; see docs/API.md");
    let failure = Failure::new(Reason::Invalid, Execution::Unknown, detail);
    drop(stream.write_all(&problem::raw(&failure)).await);
    drop(stream.shutdown(std::net::Shutdown::Both));
}
