//! Reads the body of a request with a limit on its size and on the time that it takes.

use std::fmt;
use std::io;

use http_types::Request;
use smol::Timer;
use smol::future::FutureExt as _;
use smol::io::AsyncReadExt as _;

use crate::clock::Millis;
use crate::contain;

/// Why the body of a request can't be used.
#[derive(Debug)]
pub enum BodyError {
    /// The body is longer than this limit, in bytes.
    Large(u64),
    /// The connection failed, or the body's framing is invalid.
    Unread(io::Error),
    /// The body did not arrive within this time.
    Slow(Millis),
    /// The body ended before its declared length.
    Short,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Large(max_bytes) => {
                write!(f, "the body is over {max_bytes} bytes; split the job")
            }
            Self::Unread(error) => {
                write!(f, "the body can't be read: {error}; send the request again")
            }
            Self::Slow(timeout) => {
                write!(f, "the body did not arrive within {timeout}; send it faster")
            }
            Self::Short => {
                f.write_str("the body ended before its declared length; send the request again")
            }
        }
    }
}

impl std::error::Error for BodyError {}

/// Reads the body of a request, which may have `max_bytes` and take `timeout`.
pub async fn read_body(
    request: &mut Request,
    max_bytes: u64,
    timeout: Millis,
) -> Result<Vec<u8>, BodyError> {
    let declared = request.len();
    if declared.is_some_and(|length| length as u64 > max_bytes) {
        return Err(BodyError::Large(max_bytes));
    }
    let source = request.take_body();
    let mut body = Vec::with_capacity(declared.unwrap_or(0));
    let read = async {
        let mut source = source.take(max_bytes + 1);
        let read = contain::future(source.read_to_end(&mut body)).await;
        read.unwrap_or_else(|panicked| Err(io::Error::other(panicked))).map_err(BodyError::Unread)
    };
    let expired = async {
        Timer::after(timeout.duration()).await;
        Err(BodyError::Slow(timeout))
    };
    let length = read.or(expired).await?;
    if length as u64 > max_bytes {
        return Err(BodyError::Large(max_bytes));
    }
    if declared.is_some_and(|declared| declared != length) {
        return Err(BodyError::Short);
    }
    Ok(body)
}
