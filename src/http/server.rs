//! The server for callers: one task a connection, with bounds on what a sender may do.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use async_h1::server::{ConnectionStatus, Server};
use event_listener::Event;
use http_types::{Request, Response};
use smol::Timer;
use smol::future::{self, FutureExt as _};
use smol::io::{AsyncRead, AsyncWrite, AsyncWriteExt as _};
use smol::net::{TcpListener, TcpStream};

use crate::clock::Millis;
use crate::job::{Execution, Failure, Reason};
use crate::runtime;

use super::problem;

/// Bytes that the head of a request and its framing may take beyond the body.
const HEAD_MAX_BYTES: u64 = 64 << 10;

/// How often a connection with unread bytes is looked at for its end.
const HANG_UP_PAUSE: Millis = Millis(50);

/// What a caller may do.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// The most connections at once.
    pub connections_max: usize,
    /// How long the head of a request may take to arrive, an idle connection's wait included.
    pub head_timeout: Millis,
}

/// What a server is doing.
#[derive(Debug, Default)]
pub struct Traffic {
    open: AtomicUsize,
    busy: AtomicUsize,
    closing: AtomicBool,
    closed: Event,
}

impl Traffic {
    /// The connections.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Closes connections as soon as they are idle, from now on.
    pub fn close_idle(&self) {
        self.closing.store(true, Ordering::Relaxed);
        self.closed.notify(usize::MAX);
    }

    fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    /// The requests whose answers are not written yet.
    pub fn busy(&self) -> usize {
        self.busy.load(Ordering::Relaxed)
    }
}

/// What answers requests.
pub trait Handler: fmt::Debug + Send + Sync {
    /// Answers one request.
    fn answer(self: Arc<Self>, request: Request) -> Pin<Box<dyn Future<Output = Response> + Send>>;

    /// The largest body, in bytes.
    fn body_max(&self) -> u64;
}

/// Accepts connections until the listener fails.
pub async fn serve(
    listener: TcpListener,
    rules: Rules,
    traffic: Arc<Traffic>,
    handler: Arc<dyn Handler>,
) -> io::Result<()> {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) if is_passing(&error) => continue,
            Err(error) => return Err(error),
        };
        drop(stream.set_nodelay(true));
        let handler = Arc::clone(&handler);
        let traffic = Arc::clone(&traffic);
        runtime::spawn(async move {
            let number = traffic.open.fetch_add(1, Ordering::Relaxed);
            if number < rules.connections_max {
                converse(stream, rules, &traffic, handler).await;
            } else {
                turn_away(stream).await;
            }
            traffic.open.fetch_sub(1, Ordering::Relaxed);
        })
        .detach();
    }
}

/// Whether the next call of accept may well succeed.
fn is_passing(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionAborted, ConnectionReset, Interrupted};
    const TOO_MANY_FILES: i32 = 24;
    matches!(error.kind(), ConnectionAborted | ConnectionReset | Interrupted)
        || error.raw_os_error() == Some(TOO_MANY_FILES)
}

async fn turn_away(mut stream: TcpStream) {
    let detail = "too many connections; reuse one, or try another VM";
    let failure = Failure::new(Reason::Unavailable, Execution::Unknown, detail);
    drop(stream.write_all(&problem::raw(&failure)).await);
}

async fn converse(
    stream: TcpStream,
    rules: Rules,
    traffic: &Arc<Traffic>,
    handler: Arc<dyn Handler>,
) {
    let asked = Arc::new(AtomicBool::new(false));
    let closing = Arc::new(AtomicBool::new(false));
    let refused = Arc::new(AtomicBool::new(false));
    let metered = Metered { stream: stream.clone(), left: Arc::new(AtomicU64::new(0)) };
    let begun = Arc::new(Event::new());
    let endpoint = {
        let asked = Arc::clone(&asked);
        let refused = Arc::clone(&refused);
        let closing = Arc::clone(&closing);
        let begun = Arc::clone(&begun);
        let handler = Arc::clone(&handler);
        let traffic = Arc::clone(traffic);
        move |request| {
            asked.store(true, Ordering::Relaxed);
            begun.notify(1);
            traffic.busy.fetch_add(1, Ordering::Relaxed);
            let answer = Arc::clone(&handler).answer(request);
            let refused = Arc::clone(&refused);
            let closing = Arc::clone(&closing);
            async move {
                let response = answer.await;
                let close = response.header("Connection").is_some_and(|value| value == "close");
                closing.store(close, Ordering::Relaxed);
                refused.store(!response.status().is_success(), Ordering::Relaxed);
                Ok(response)
            }
        }
    };
    let left = Arc::clone(&metered.left);
    let mut server = Server::new(metered, endpoint);
    loop {
        left.store(HEAD_MAX_BYTES + 2 * handler.body_max(), Ordering::Relaxed);
        asked.store(false, Ordering::Relaxed);
        refused.store(false, Ordering::Relaxed);
        let late = async {
            give_up(rules.head_timeout, &asked, &refused).await;
            Ok(ConnectionStatus::Close)
        };
        let has_begun = begun.listen();
        let gone = async {
            has_begun.await;
            hang_up(&stream).await;
            Ok(ConnectionStatus::Close)
        };
        let idle_end = traffic.closed.listen();
        let closed = async {
            if !traffic.is_closing() {
                idle_end.await;
            }
            if asked.load(Ordering::Relaxed) {
                future::pending::<()>().await;
            }
            Ok(ConnectionStatus::Close)
        };
        let end = server.accept_one().or(late).or(gone).or(closed).await;
        if asked.load(Ordering::Relaxed) {
            traffic.busy.fetch_sub(1, Ordering::Relaxed);
        }
        match end {
            Ok(ConnectionStatus::KeepAlive) if !closing.load(Ordering::Relaxed) => {}
            Ok(ConnectionStatus::Close | ConnectionStatus::KeepAlive) => break,
            Err(error) => {
                if !asked.load(Ordering::Relaxed) {
                    refuse(stream, &error).await;
                }
                return;
            }
        }
    }
    drop(stream.shutdown(std::net::Shutdown::Write));
}

/// Ends when the caller closes the connection while its request is answered: nobody waits for the answer.
async fn hang_up(stream: &TcpStream) {
    let mut byte = [0];
    // What there is to read is the rest of the body or the next request; the end comes after that.
    while stream.peek(&mut byte).await.is_ok_and(|bytes| bytes > 0) {
        Timer::after(HANG_UP_PAUSE.duration()).await;
    }
}

/// Ends when no head has arrived in time, or when a refusal was written that long ago and the library still
/// waits for the rest of a body that nobody reads.
async fn give_up(limit: Millis, asked: &AtomicBool, refused: &AtomicBool) {
    let mut was_refused = false;
    loop {
        Timer::after(limit.duration()).await;
        if was_refused || !asked.load(Ordering::Relaxed) {
            return;
        }
        was_refused = refused.load(Ordering::Relaxed);
    }
}

/// Answers a request whose head can't be read.
async fn refuse(mut stream: TcpStream, error: &http_types::Error) {
    let detail = format!("the request can't be read: {error}; see docs/API.md");
    let failure = Failure::new(Reason::Invalid, Execution::Unknown, detail);
    drop(stream.write_all(&problem::raw(&failure)).await);
    drop(stream.shutdown(std::net::Shutdown::Both));
}

/// A stream that gives up on a sender who sends more than a request may hold.
#[derive(Clone, Debug)]
struct Metered {
    stream: TcpStream,
    left: Arc<AtomicU64>,
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let left = self.left.load(Ordering::Relaxed);
        if left == 0 {
            return Poll::Ready(Err(io::Error::other("the request is too long")));
        }
        let room = buffer.len().min(usize::try_from(left).unwrap_or(usize::MAX));
        let read = Pin::new(&mut self.stream).poll_read(context, &mut buffer[..room]);
        if let Poll::Ready(Ok(bytes)) = &read {
            self.left.fetch_sub(*bytes as u64, Ordering::Relaxed);
        }
        read
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
