//! One HTTP/1.1 client connection, which tells a request that was never written from a lost answer.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http_types::headers::HeaderValues;
use http_types::{Method, Url};
use smol::future::{self, FutureExt as _};
use smol::io::AsyncReadExt as _;
use smol::net::TcpStream;
use smol::{Timer, io as smol_io};
use socket2::{SockRef, TcpKeepalive};

use crate::clock::Millis;

/// The silence after which the system probes a connection, and the time between probes.
const KEEPALIVE: Millis = Millis(2000);

/// Unanswered probes after which the system gives the connection up.
const KEEPALIVE_RETRIES: u32 = 3;

/// How long written bytes may stay unacknowledged before the system gives the connection up.
const USER_TIMEOUT: Millis = Millis(6000);

/// The largest answer that is read, in bytes.
const ANSWER_MAX_BYTES: u64 = 16 << 20;

/// A request to make on a [`Connection`].
#[derive(Debug)]
pub struct Request<'a> {
    /// The method.
    pub method: Method,
    /// The path with its query, starting with a slash.
    pub path: &'a str,
    /// Further headers.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body; empty for none.
    pub body: &'a [u8],
    /// How long to wait for the whole answer.
    pub timeout: Millis,
}

impl<'a> Request<'a> {
    /// A `GET` of `path`.
    pub const fn get(path: &'a str, timeout: Millis) -> Self {
        Self { method: Method::Get, path, headers: &[], body: &[], timeout }
    }
}

/// A whole answer.
#[derive(Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The whole body.
    pub body: Vec<u8>,
    response: http_types::Response,
}

impl Response {
    /// The first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response
            .header(name)
            .map(HeaderValues::last)
            .map(http_types::headers::HeaderValue::as_str)
    }
}

/// Why there is no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// Nothing was written.
    Unsent(String),
    /// The request, or part of it, was written and no whole answer came back.
    Lost(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unsent(why) => {
                write!(f, "nothing was sent: {why}; check the address and the network")
            }
            Self::Lost(why) => write!(f, "no whole answer came back: {why}; ask for the outcome"),
        }
    }
}

impl std::error::Error for Error {}

/// A kept-alive connection. After an [`Error`] it is not to be used again.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    base: Url,
}

impl Connection {
    /// Connects within `timeout`.
    pub async fn open(address: SocketAddr, timeout: Millis) -> Result<Self, Error> {
        let connect = async {
            TcpStream::connect(address).await.map_err(|error| Error::Unsent(error.to_string()))
        };
        let late = async {
            Timer::after(timeout.duration()).await;
            Err(Error::Unsent(format!("no connection to {address} within {timeout}")))
        };
        let stream = connect.or(late).await?;
        prepare(&stream).map_err(|error| Error::Unsent(error.to_string()))?;
        let base = Url::parse(&format!("http://{address}/"))
            .map_err(|error| Error::Unsent(error.to_string()))?;
        Ok(Self { stream, base })
    }

    /// The TCP stream below.
    pub const fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Whether the other end has closed the connection or sent something out of turn.
    pub async fn is_stale(&self) -> bool {
        let mut byte = [0];
        let peek = self.stream.peek(&mut byte);
        future::poll_once(peek).await.is_some()
    }

    /// Sends one request and reads the whole answer.
    pub async fn send(&mut self, question: &Request<'_>) -> Result<Response, Error> {
        let exchange =
            async { self.exchange(question).await.map_err(|error| Error::Lost(error.to_string())) };
        let late = async {
            Timer::after(question.timeout.duration()).await;
            Err(Error::Lost(format!("no answer within {}", question.timeout)))
        };
        exchange.or(late).await
    }

    /// Resets the connection, so that what was written and has not arrived never does.
    pub fn abort(self) {
        if let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)) {
            log::debug!("event=no-reset reason={error:?}");
        }
    }

    /// Closes the connection.
    pub fn close(self) {
        drop(self.stream.shutdown(std::net::Shutdown::Both));
    }

    async fn exchange(&self, question: &Request<'_>) -> Result<Response, http_types::Error> {
        let url = self.base.join(question.path)?;
        let mut request = http_types::Request::new(question.method, url);
        for (name, value) in question.headers {
            request.insert_header(*name, *value);
        }
        request.set_body(question.body);
        let mut response = async_h1::connect(self.stream.clone(), request).await?;
        let mut body = Vec::new();
        let source = response.take_body();
        let expected = source.len();
        let read = smol_io::copy(source.take(ANSWER_MAX_BYTES + 1), &mut body).await?;
        let cut = expected.is_some_and(|expected| (expected as u64) != read);
        if cut || read > ANSWER_MAX_BYTES {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        Ok(Response { status: response.status().into(), body, response })
    }
}

/// Sends at once, and lets the system find connections that have gone silent.
fn prepare(stream: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE.duration())
        .with_interval(KEEPALIVE.duration())
        .with_retries(KEEPALIVE_RETRIES);
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT.duration()))
}
