//! `peers` is the thread that talks to peers: frames of protocol buffers over TCP.

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
use crate::duty;
use crate::front::Front;
use damaskstile_gateway::logs;

/// Messages that may wait for the thread.
const PEERS_RING: usize = 4096;
/// Messages that may wait for one peer.
const PEER_RING: usize = 512;
/// Time in which a connection must be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without a message after which a connection is given up.
const IDLE_LIMIT: Duration = Duration::from_mins(1);

/// `ToPeers` is one message with the address that it goes to.
#[derive(Debug)]
pub struct ToPeers {
    /// Address as IP and port.
    pub address: String,
    /// The message.
    pub message: PeerMessage,
}

/// Starts the thread.
pub fn start(
    config: &Config,
    own: Identity,
    front: Arc<Front>,
    log: &Logger,
) -> anyhow::Result<Sender<ToPeers>> {
    let listener = std::net::TcpListener::bind(config.peers_address)?;
    listener.set_nonblocking(true)?;
    let (sender, receiver) = mpsc::channel(PEERS_RING);
    let log = log.clone();
    duty::start_async("peers", async move {
        if let Ok(listener) = TcpListener::from_std(listener) {
            tokio::spawn(accept(listener, front, log));
        }
        distribute(own, receiver).await;
    })?;
    Ok(sender)
}

async fn accept(listener: TcpListener, front: Arc<Front>, log: Logger) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(read_frames(stream, Arc::clone(&front), log.clone()));
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

async fn read_frames(stream: TcpStream, front: Arc<Front>, log: Logger) {
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
                front.submit(event).await;
            }
            Err(error) => {
                // The rest of the stream cannot be trusted; the peer connects anew.
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
            let (sender, receiver) = mpsc::channel(PEER_RING);
            tokio::spawn(write_frames(own.clone(), address.clone(), receiver));
            peers.insert(address.clone(), sender);
        }
        if let Some(peer) = peers.get(&address) {
            // A peer that does not read loses messages; it must not hold up the others.
            let _ = peer.try_send(message);
        }
    }
}

/// Writes messages to one peer until the connection fails; the next message makes a new one.
async fn write_frames(own: Identity, address: String, mut messages: Receiver<PeerMessage>) {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(&address));
    let Ok(Ok(stream)) = connecting.await else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let mut frames = Framed::new(stream, codec());
    while let Ok(Some(message)) = tokio::time::timeout(IDLE_LIMIT, messages.recv()).await {
        let bytes = encode_frame(&own.instance, own.incarnation, message);
        if frames.send(Bytes::from(bytes)).await.is_err() {
            return;
        }
    }
}
