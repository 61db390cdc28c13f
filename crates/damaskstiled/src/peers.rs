//! The peers thread: exchanges length-delimited protobuf frames with peers over TCP.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use damaskstile::core::log::{EventCode, LogEvent};
use damaskstile::core::peer::{MAX_FRAME_BYTES, PeerMessage, decode_frame, encode_frame};
use damaskstile::core::prelude::*;
use futures_util::{SinkExt, StreamExt};
use slog::Logger;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{self, Receiver, Sender};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::config::Config;
use crate::shared::SharedState;
use crate::threads;
use damaskstile_gateway::logs;

/// Capacity of the queue to the peers thread.
const PEERS_QUEUE_SIZE: usize = 4096;
/// Capacity of the queue to one peer's connection.
const PEER_QUEUE_SIZE: usize = 512;
/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without a message to send after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// A message to a peer, with its destination.
#[derive(Debug)]
pub struct ToPeers {
    /// Address of the peer, as IP and port.
    pub address: String,
    /// Message to send.
    pub message: PeerMessage,
}

/// Starts the thread and returns the queue to it.
///
/// # Errors
///
/// Returns an error if the address cannot be bound or the thread cannot be started.
pub fn start(
    config: &Config,
    own: Identity,
    shared: Arc<SharedState>,
    log: &Logger,
) -> anyhow::Result<Sender<ToPeers>> {
    let listener = std::net::TcpListener::bind(config.peers_address)?;
    listener.set_nonblocking(true)?;
    let (sender, receiver) = mpsc::channel(PEERS_QUEUE_SIZE);
    let log = log.clone();
    threads::spawn_async("peers", async move {
        if let Ok(listener) = TcpListener::from_std(listener) {
            tokio::spawn(accept(listener, shared, log));
        }
        distribute(own, receiver).await;
    })?;
    Ok(sender)
}

async fn accept(listener: TcpListener, shared: Arc<SharedState>, log: Logger) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(read_frames(stream, Arc::clone(&shared), log.clone()));
            }
            Err(error) => {
                let error = error.to_string();
                logs::write(
                    &log,
                    &LogEvent::new(EventCode::HostFailed, &[("peers", &error)]),
                );
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

async fn read_frames(stream: TcpStream, shared: Arc<SharedState>, log: Logger) {
    let mut frames = Framed::new(stream, codec());
    while let Some(frame) = frames.next().await {
        let decoded = match &frame {
            Ok(bytes) => decode_frame(bytes).map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        match decoded {
            Ok((from, incarnation, message)) => {
                let event = Event::Peer {
                    from,
                    incarnation,
                    message,
                };
                shared.submit(event).await;
            }
            Err(error) => {
                // Frame boundaries are lost, so the connection is closed; the peer reconnects.
                logs::write(
                    &log,
                    &LogEvent::new(EventCode::PeerFrameInvalid, &[("error", &error)]),
                );
                return;
            }
        }
    }
}

async fn distribute(own: Identity, mut messages: Receiver<ToPeers>) {
    let mut peers: BTreeMap<String, Sender<PeerMessage>> = BTreeMap::new();
    while let Some(ToPeers { address, message }) = messages.recv().await {
        let is_open = peers.get(&address).is_some_and(|peer| !peer.is_closed());
        if !is_open {
            let (sender, receiver) = mpsc::channel(PEER_QUEUE_SIZE);
            tokio::spawn(write_frames(own.clone(), address.clone(), receiver));
            peers.insert(address.clone(), sender);
        }
        if let Some(peer) = peers.get(&address) {
            // If the queue is full, the message is dropped: a slow peer must not delay the others.
            let _ = peer.try_send(message);
        }
    }
}

/// Writes messages to one peer until the connection fails or is idle.
///
/// The next message to this peer opens a new connection.
async fn write_frames(own: Identity, address: String, mut messages: Receiver<PeerMessage>) {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(&address));
    let Ok(Ok(stream)) = connecting.await else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let mut frames = Framed::new(stream, codec());
    while let Ok(Some(message)) = tokio::time::timeout(IDLE_TIMEOUT, messages.recv()).await {
        let bytes = encode_frame(&own.instance, own.incarnation, message);
        if frames.send(Bytes::from(bytes)).await.is_err() {
            return;
        }
    }
}
