//! Reads the body of a request with a limit on its size, on the time that it takes, and on the bytes that all callers hold.

use std::fmt;
use std::io;

use http_types::Request;
use smol::Timer;
use smol::future::{self, FutureExt as _};
use smol::io::{AsyncRead, AsyncReadExt as _};

use crate::clock::Millis;
use crate::contain;

use super::server::Caller;

/// The most bytes that are read at once.
const READ_MAX: usize = 8 << 10;

/// The capacity with which a body begins, in bytes.
const CAPACITY_MIN: usize = 4 << 10;

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
    /// Other callers hold all the memory for bodies.
    Exhausted,
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
            Self::Exhausted => f.write_str(
                "other callers hold all the memory for requests; send the request again later",
            ),
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
    let caller = request.ext().get::<Caller>().cloned();
    let source = request.take_body();
    let mut body = Vec::new();
    let read = async {
        let mut source = source.take(max_bytes + 1);
        loop {
            if body.len() == body.capacity() {
                grow(&mut body, declared, max_bytes, caller.as_ref()).await?;
            }
            if read_some(&mut source, &mut body).await? == 0 {
                return Ok(body.len());
            }
            // Bodies that arrive fast must not keep the tasks from running that renew leases and links.
            future::yield_now().await;
        }
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
    if let Some(caller) = caller {
        caller.begin_service();
    }
    Ok(body)
}

/// Doubles the capacity of a body, up to one byte more than it may have, once the caller may hold that much.
async fn grow(
    body: &mut Vec<u8>,
    declared: Option<usize>,
    max_bytes: u64,
    caller: Option<&Caller>,
) -> Result<(), BodyError> {
    let most = declared.map_or(max_bytes, |declared| max_bytes.min(declared as u64)) as usize + 1;
    let added = body.capacity().max(CAPACITY_MIN).min(most.saturating_sub(body.len()).max(1));
    if let Some(caller) = caller
        && !caller.held().take(added as u64).await
    {
        return Err(BodyError::Exhausted);
    }
    body.reserve_exact(added);
    Ok(())
}

/// Reads what has arrived, up to [`READ_MAX`] and the capacity of `body`. Returns the number of bytes; 0 at the end of the body.
async fn read_some(
    source: &mut (impl AsyncRead + Unpin),
    body: &mut Vec<u8>,
) -> Result<usize, BodyError> {
    let length = body.len();
    body.resize(body.capacity().min(length + READ_MAX), 0);
    let read = contain::future(source.read(&mut body[length..])).await;
    let read = read.unwrap_or_else(|panicked| Err(io::Error::other(panicked)));
    body.truncate(length + read.as_ref().map_or(0, |bytes| *bytes));
    read.map_err(BodyError::Unread)
}
