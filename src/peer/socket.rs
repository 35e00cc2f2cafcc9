//! A WebSocket that carries frames, split into its two directions.

use std::fmt;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_tungstenite::tungstenite::protocol::WebSocketConfig;
use async_tungstenite::tungstenite::{Bytes, Message};
use async_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt as _, StreamExt as _};
use smol::channel::Receiver;
use smol::net::TcpStream;

use crate::wire::{FRAME_MAX_BYTES, Frame};

use super::volume::Volume;

/// Bytes that a link buffers in each direction.
const BUFFER_BYTES: usize = 16 << 10;

/// The receiving half.
#[derive(Debug)]
pub struct Source(SplitStream<WebSocketStream<TcpStream>>);

/// The sending half.
#[derive(Debug)]
pub struct Sink {
    socket: SplitSink<WebSocketStream<TcpStream>, Message>,
    volume: Arc<Volume>,
}

/// Why a link can't go on.
#[derive(Clone, Debug)]
pub struct Broken {
    reason: String,
    is_refusal: bool,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}; the link is made anew", self.reason)
    }
}

impl std::error::Error for Broken {}

impl Broken {
    /// For a reason of the caller's own.
    pub fn because(reason: impl Into<String>) -> Self {
        Self { reason: reason.into(), is_refusal: false }
    }

    /// For a connection that could not be made.
    pub fn of_dial(error: &io::Error) -> Self {
        let is_refusal = error.kind() == io::ErrorKind::ConnectionRefused;
        Self { reason: error.to_string(), is_refusal }
    }

    /// Whether nothing listens at the other end.
    pub const fn is_refusal(&self) -> bool {
        self.is_refusal
    }
}

fn broken(error: impl fmt::Display) -> Broken {
    Broken::because(error.to_string())
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(FRAME_MAX_BYTES))
        .max_frame_size(Some(FRAME_MAX_BYTES))
}

/// Makes the WebSocket handshake on a connection that was dialled.
pub async fn dial(stream: TcpStream, volume: Arc<Volume>) -> Result<(Sink, Source), Broken> {
    let address = stream.peer_addr().map_err(broken)?;
    let url = format!("ws://{address}/");
    let (socket, _) =
        client_async_with_config(url, stream, Some(config())).await.map_err(broken)?;
    Ok(split(socket, volume))
}

/// Makes the WebSocket handshake on a connection that was accepted.
pub async fn accept(stream: TcpStream, volume: Arc<Volume>) -> Result<(Sink, Source), Broken> {
    let socket = accept_async_with_config(stream, Some(config())).await.map_err(broken)?;
    Ok(split(socket, volume))
}

fn split(socket: WebSocketStream<TcpStream>, volume: Arc<Volume>) -> (Sink, Source) {
    let (socket, source) = socket.split();
    (Sink { socket, volume }, Source(source))
}

impl Source {
    /// The next frame. A message that is no frame breaks the link.
    pub async fn next(&mut self) -> Result<Frame, Broken> {
        loop {
            let message = self.0.next().await.ok_or_else(|| broken("the link was closed"))?;
            match message.map_err(broken)? {
                Message::Binary(bytes) => return Frame::decode(&bytes).map_err(broken),
                Message::Ping(_) | Message::Pong(_) => {}
                other => {
                    return Err(Broken::because(format!(
                        "unexpected message of {} bytes",
                        other.len()
                    )));
                }
            }
        }
    }
}

impl Sink {
    /// Sends one frame at once.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Broken> {
        self.feed(frame).await?;
        self.socket.flush().await.map_err(broken)
    }

    /// Sends all that comes out of `queue`, as many frames to a write as wait, until it is closed.
    /// Replies that are sent are taken off `owed`.
    pub async fn drain(
        &mut self,
        queue: &Receiver<Frame>,
        owed: &AtomicUsize,
    ) -> Result<(), Broken> {
        while let Ok(frame) = queue.recv().await {
            let mut replies = usize::from(matches!(frame, Frame::Reply { .. }));
            self.feed(&frame).await?;
            while let Ok(frame) = queue.try_recv() {
                replies += usize::from(matches!(frame, Frame::Reply { .. }));
                self.feed(&frame).await?;
            }
            self.socket.flush().await.map_err(broken)?;
            owed.fetch_sub(replies, Ordering::Relaxed);
        }
        Ok(())
    }

    async fn feed(&mut self, frame: &Frame) -> Result<(), Broken> {
        let bytes = frame.encode().map_err(broken)?;
        self.volume.count(frame, bytes.len());
        self.socket.feed(Message::Binary(Bytes::from(bytes))).await.map_err(broken)
    }
}
