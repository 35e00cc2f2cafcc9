//! A WebSocket that carries frames, split into its sending and its receiving half.

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

use crate::contain;
use crate::wire::{FRAME_MAX_BYTES, Frame};

use super::volume::Volume;

/// The size of the read buffer and of the write buffer of a link, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// The receiving half of a WebSocket.
#[derive(Debug)]
pub struct Source(SplitStream<WebSocketStream<TcpStream>>);

/// The sending half of a WebSocket.
#[derive(Debug)]
pub struct Sink {
    socket: SplitSink<WebSocketStream<TcpStream>, Message>,
    volume: Arc<Volume>,
}

/// Why a link could not be made, or failed.
#[derive(Clone, Debug)]
pub struct LinkError {
    reason: String,
    is_refusal: bool,
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}; the link is dialled again", self.reason)
    }
}

impl std::error::Error for LinkError {}

impl LinkError {
    /// Creates an error with a reason to show in the log.
    pub fn new(reason: impl Into<String>) -> Self {
        Self { reason: reason.into(), is_refusal: false }
    }

    /// Creates the error for a connection that could not be made.
    pub fn connect(error: &io::Error) -> Self {
        let is_refusal = error.kind() == io::ErrorKind::ConnectionRefused;
        Self { reason: error.to_string(), is_refusal }
    }

    /// Whether the connection was refused, since no process listens at the address.
    pub const fn is_refusal(&self) -> bool {
        self.is_refusal
    }
}

fn link_error(error: impl fmt::Display) -> LinkError {
    LinkError::new(error.to_string())
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(FRAME_MAX_BYTES))
        .max_frame_size(Some(FRAME_MAX_BYTES))
}

/// Performs the WebSocket handshake on a connection that was dialled.
pub async fn dial(stream: TcpStream, volume: Arc<Volume>) -> Result<(Sink, Source), LinkError> {
    let address = stream.peer_addr().map_err(link_error)?;
    let url = format!("ws://{address}/");
    let handshake = contain::future(client_async_with_config(url, stream, Some(config()))).await;
    let (socket, _) = handshake.map_err(link_error)?.map_err(link_error)?;
    Ok(split(socket, volume))
}

/// Performs the WebSocket handshake on a connection that was accepted.
pub async fn accept(stream: TcpStream, volume: Arc<Volume>) -> Result<(Sink, Source), LinkError> {
    let handshake = contain::future(accept_async_with_config(stream, Some(config()))).await;
    let socket = handshake.map_err(link_error)?.map_err(link_error)?;
    Ok(split(socket, volume))
}

fn split(socket: WebSocketStream<TcpStream>, volume: Arc<Volume>) -> (Sink, Source) {
    let (socket, source) = socket.split();
    (Sink { socket, volume }, Source(source))
}

impl Source {
    /// Receives the next frame. Fails if the link is closed or a message is not a valid frame.
    pub async fn next(&mut self) -> Result<Frame, LinkError> {
        loop {
            let message = contain::future(self.0.next()).await.map_err(link_error)?;
            let message = message.ok_or_else(|| link_error("the peer closed the link"))?;
            match message.map_err(link_error)? {
                Message::Binary(bytes) => return Frame::decode(&bytes).map_err(link_error),
                Message::Ping(_) | Message::Pong(_) => {}
                other => {
                    return Err(LinkError::new(format!(
                        "a WebSocket message of {} bytes is not binary",
                        other.len()
                    )));
                }
            }
        }
    }
}

impl Sink {
    /// Sends one frame and flushes it.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), LinkError> {
        self.feed(frame).await?;
        self.socket.flush().await.map_err(link_error)
    }

    /// Sends the frames of `queue` until it is closed, and flushes once for all that are queued at the same time.
    /// Subtracts the replies that were sent from `unsent_replies`.
    pub async fn send_queued(
        &mut self,
        queue: &Receiver<Frame>,
        unsent_replies: &AtomicUsize,
    ) -> Result<(), LinkError> {
        while let Ok(frame) = queue.recv().await {
            let mut replies = usize::from(matches!(frame, Frame::Reply { .. }));
            self.feed(&frame).await?;
            while let Ok(frame) = queue.try_recv() {
                replies += usize::from(matches!(frame, Frame::Reply { .. }));
                self.feed(&frame).await?;
            }
            self.socket.flush().await.map_err(link_error)?;
            unsent_replies.fetch_sub(replies, Ordering::Relaxed);
        }
        Ok(())
    }

    async fn feed(&mut self, frame: &Frame) -> Result<(), LinkError> {
        let bytes = frame.encode().map_err(link_error)?;
        self.volume.count(frame, bytes.len());
        self.socket.feed(Message::Binary(Bytes::from(bytes))).await.map_err(link_error)
    }
}
