//! A stream from which the HTTP library reads messages: of bounded length, with headers that it can parse.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

use super::holdings::Held;
use super::mask::Mask;

/// Bytes that a message may have beyond twice the largest body: for its head and for the framing of chunks.
const HEAD_MAX_BYTES: u64 = 64 << 10;

/// A stream that fails once a sender has sent more bytes than a message may have. Bytes above 127 in headers are
/// replaced. Clones share one state.
#[derive(Clone, Debug)]
pub(super) struct Limited {
    stream: TcpStream,
    bytes_left: Arc<AtomicU64>,
    mask: Arc<Mutex<Mask>>,
    /// What the sender holds, if it is a caller.
    held: Option<Arc<Held>>,
}

impl Limited {
    /// Wraps a stream at the start of a message whose body may have `body_max` bytes.
    pub fn new(stream: TcpStream, body_max: u64, held: Option<Arc<Held>>) -> Self {
        let limited = Self { stream, bytes_left: Arc::default(), mask: Arc::default(), held };
        limited.begin(body_max);
        limited
    }

    /// Begins the next message, whose body may have `body_max` bytes.
    pub fn begin(&self, body_max: u64) {
        self.bytes_left.store(HEAD_MAX_BYTES + 2 * body_max, Ordering::Relaxed);
        *self.mask.lock().unwrap_or_else(PoisonError::into_inner) = Mask::default();
    }

    fn record_progress(&self) {
        if let Some(held) = &self.held {
            held.record_progress();
        }
    }
}

impl AsyncRead for Limited {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let bytes_left = self.bytes_left.load(Ordering::Relaxed);
        if bytes_left == 0 {
            return Poll::Ready(Err(io::Error::other("the message is too long")));
        }
        let length = buffer.len().min(usize::try_from(bytes_left).unwrap_or(usize::MAX));
        let read = Pin::new(&mut self.stream).poll_read(context, &mut buffer[..length]);
        if let Poll::Ready(Ok(bytes)) = &read {
            self.record_progress();
            self.bytes_left.fetch_sub(*bytes as u64, Ordering::Relaxed);
            self.mask.lock().unwrap_or_else(PoisonError::into_inner).apply(&mut buffer[..*bytes]);
        }
        read
    }
}

impl AsyncWrite for Limited {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        if written.is_ready() {
            self.record_progress();
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
