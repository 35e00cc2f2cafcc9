//! Reads the body of a request within bounds.

use std::fmt;
use std::io;

use http_types::Request;
use smol::Timer;
use smol::future::FutureExt as _;
use smol::io::AsyncReadExt as _;

use crate::clock::Millis;

/// Why a body can't be had.
#[derive(Debug)]
pub enum BodyError {
    /// It is longer than the most, which this holds, in bytes.
    Large(u64),
    /// It can't be read.
    Unread(io::Error),
    /// It did not arrive in time.
    Slow(Millis),
    /// It ended before its length.
    Short,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Large(most) => write!(f, "the body is over {most} bytes; split the job"),
            Self::Unread(error) => write!(f, "the body can't be read: {error}; send it again"),
            Self::Slow(limit) => {
                write!(f, "the body did not arrive within {limit}; send it faster")
            }
            Self::Short => f.write_str("the body ended before its length; send it again"),
        }
    }
}

impl std::error::Error for BodyError {}

/// Reads the body of a request, of at most `most` bytes, within `limit`.
pub async fn read_body(
    request: &mut Request,
    most: u64,
    limit: Millis,
) -> Result<Vec<u8>, BodyError> {
    let declared = request.len();
    if declared.is_some_and(|length| length as u64 > most) {
        return Err(BodyError::Large(most));
    }
    let source = request.take_body();
    let mut body = Vec::with_capacity(declared.unwrap_or(0));
    let reading =
        async { source.take(most + 1).read_to_end(&mut body).await.map_err(BodyError::Unread) };
    let late = async {
        Timer::after(limit.duration()).await;
        Err(BodyError::Slow(limit))
    };
    let read = reading.or(late).await?;
    if read as u64 > most {
        return Err(BodyError::Large(most));
    }
    if declared.is_some_and(|length| length != read) {
        return Err(BodyError::Short);
    }
    Ok(body)
}
