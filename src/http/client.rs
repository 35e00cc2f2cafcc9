//! An HTTP/1.1 client connection. Its errors tell a request that was never sent from one whose response was lost.

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
use crate::contain;

use super::limited::Limited;

/// The idle time after which the operating system sends keep-alive probes, and the interval between them.
const KEEPALIVE_INTERVAL: Millis = Millis(2000);

/// Unanswered probes after which the operating system closes the connection.
const KEEPALIVE_RETRIES: u32 = 3;

/// How long written bytes may stay unacknowledged before the operating system closes the connection.
const USER_TIMEOUT: Millis = Millis(6000);

/// The largest response body that is accepted, in bytes.
const BODY_MAX_BYTES: u64 = 16 << 20;

/// A request to send on a [`Connection`].
#[derive(Debug)]
pub struct Request<'a> {
    /// The HTTP method.
    pub method: Method,
    /// The path with its query, starting with a slash.
    pub path: &'a str,
    /// Names and values of headers beside those that the connection sets.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body; empty for none.
    pub body: &'a [u8],
    /// How long sending the request and reading the whole response may take.
    pub timeout: Millis,
}

impl<'a> Request<'a> {
    /// Creates a `GET` request for `path`.
    pub const fn get(path: &'a str, timeout: Millis) -> Self {
        Self { method: Method::Get, path, headers: &[], body: &[], timeout }
    }
}

/// A response whose body has been read.
#[derive(Debug)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// The whole body.
    pub body: Vec<u8>,
    inner: http_types::Response,
}

impl Response {
    /// The last value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.inner
            .header(name)
            .map(HeaderValues::last)
            .map(http_types::headers::HeaderValue::as_str)
    }
}

/// Why a request got no response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// Nothing was written to the connection.
    Unsent(String),
    /// The request may have been written, in whole or in part, and no complete response came back. The process at the
    /// other end may still be there, and may execute the request later.
    Lost(String),
    /// As [`Error::Lost`], and the connection has ended: the process at the other end may have ended too.
    Closed(String),
}

impl Error {
    /// The reason without its consequence or a remedy.
    pub(super) fn into_reason(self) -> String {
        match self {
            Self::Unsent(why) | Self::Lost(why) | Self::Closed(why) => why,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unsent(why) => {
                write!(f, "nothing was sent: {why}; check the address and the network")
            }
            Self::Lost(why) => write!(
                f,
                "no complete response came back: {why}; the request may have been executed, so ask for its outcome"
            ),
            Self::Closed(why) => write!(
                f,
                "the connection ended before the response: {why}; the request may have been executed, so ask for its outcome"
            ),
        }
    }
}

impl std::error::Error for Error {}

/// A keep-alive connection. It must not be used again after an [`Error`].
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    base: Url,
}

impl Connection {
    /// Opens a connection; fails with [`Error::Unsent`], also after `timeout`.
    pub async fn open(address: SocketAddr, timeout: Millis) -> Result<Self, Error> {
        let connect = async {
            TcpStream::connect(address).await.map_err(|error| Error::Unsent(error.to_string()))
        };
        let expired = async {
            Timer::after(timeout.duration()).await;
            Err(Error::Unsent(format!("no connection to {address} within {timeout}")))
        };
        let stream = connect.or(expired).await?;
        configure(&stream).map_err(|error| Error::Unsent(error.to_string()))?;
        let base = Url::parse(&format!("http://{address}/"))
            .map_err(|error| Error::Unsent(error.to_string()))?;
        Ok(Self { stream, base })
    }

    /// The underlying TCP stream.
    pub const fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Whether the other end has closed the connection or sent bytes that no request asked for.
    pub async fn is_stale(&self) -> bool {
        let mut byte = [0];
        let peek = self.stream.peek(&mut byte);
        future::poll_once(peek).await.is_some()
    }

    /// Whether the connection has ended, and all bytes that came before its end have been read.
    async fn has_ended(&self) -> bool {
        let mut byte = [0];
        let peek = self.stream.peek(&mut byte);
        matches!(future::poll_once(peek).await, Some(Ok(0) | Err(_)))
    }

    /// Sends a request and reads the whole response; fails with [`Error::Closed`] if the connection ends first, and with
    /// [`Error::Lost`] after the request's timeout or if the response can't be read. A path or header that HTTP can't
    /// carry fails with [`Error::Unsent`].
    pub async fn send(&mut self, request: &Request<'_>) -> Result<Response, Error> {
        let message = self.message(request).map_err(|error| Error::Unsent(error.to_string()))?;
        let exchange = async {
            let exchange = contain::future(self.exchange(message)).await;
            let response = exchange.map_err(|panicked| Error::Lost(panicked.to_string()))?;
            match response {
                Ok(response) => Ok(response),
                Err(error) if self.has_ended().await => Err(Error::Closed(error.to_string())),
                Err(error) => Err(Error::Lost(error.to_string())),
            }
        };
        let expired = async {
            Timer::after(request.timeout.duration()).await;
            Err(Error::Lost(format!("no response within {}", request.timeout)))
        };
        exchange.or(expired).await
    }

    /// Resets the connection, so that written bytes that have not arrived yet are discarded.
    pub fn abort(self) {
        if let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)) {
            log::debug!("event=no-reset reason={error:?}");
        }
    }

    /// Closes the connection.
    pub fn close(self) {
        drop(self.stream.shutdown(std::net::Shutdown::Both));
    }

    /// The request in the form of the HTTP library.
    fn message(&self, request: &Request<'_>) -> Result<http_types::Request, http_types::Error> {
        let url = self.base.join(request.path)?;
        let mut message = http_types::Request::new(request.method, url);
        for (name, value) in request.headers {
            // The library panics on text that is not ASCII, and sends a line break as it is.
            if !value.bytes().all(|byte| byte == b' ' || byte.is_ascii_graphic()) {
                return Err(
                    io::Error::other(format!("header {name} has invalid characters")).into()
                );
            }
            message.insert_header(*name, *value);
        }
        message.set_body(request.body);
        Ok(message)
    }

    async fn exchange(&self, message: http_types::Request) -> Result<Response, http_types::Error> {
        let stream = Limited::new(self.stream.clone(), BODY_MAX_BYTES, None);
        let mut response = async_h1::connect(stream, message).await?;
        let mut body = Vec::new();
        let source = response.take_body();
        let declared = source.len();
        let length = smol_io::copy(source.take(BODY_MAX_BYTES + 1), &mut body).await?;
        let truncated = declared.is_some_and(|declared| (declared as u64) != length);
        if truncated || length > BODY_MAX_BYTES {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        Ok(Response { status: response.status().into(), body, inner: response })
    }
}

/// Disables Nagle's algorithm, and lets the operating system detect an unreachable peer.
fn configure(stream: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL.duration())
        .with_interval(KEEPALIVE_INTERVAL.duration())
        .with_retries(KEEPALIVE_RETRIES);
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT.duration()))
}
