//! Tunnels: connections to targets through a peer that reaches them.

use std::io::{ErrorKind, Result};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use damaskstile_core::prelude::*;
use damaskstile_http::socket::connect;
use damaskstile_http::{OrderlyStream, bound_unsent};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;
use tokio_util::codec::{Framed, FramedWrite, LengthDelimitedCodec};

use super::pull::codec;
use super::pull_messages::{PullAnswer, PullRequest};
use super::tunnel_messages::{TunnelOutcome, TunnelRequest};
use crate::gateway::Gateway;
use crate::open_tunnel::OpenTunnel;
use crate::phase::Phase;
use crate::tunnel_failure::TunnelFailure;

/// Time limit of a peer's connection to the target: many round trips within a region.
const TARGET_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time limit for opening a tunnel through one peer.
const OPEN_TIMEOUT: Duration = Duration::from_millis(200);
/// Bytes that are passed on at once.
const CHUNK_BYTES: usize = 8 * 1024;

/// Opens a tunnel to an incarnation of a target through a peer.
///
/// # Errors
///
/// Returns what the peer found instead; nothing was sent to the target in that case.
pub(crate) async fn open(
    peer: SocketAddr,
    identity: &TargetIdentity,
) -> std::result::Result<OpenTunnel, TunnelFailure> {
    let request = PullRequest {
        tunnel: Some(TunnelRequest::to(identity)),
        ..PullRequest::default()
    };
    let opening = timeout(OPEN_TIMEOUT, request_tunnel(peer, request)).await;
    let Ok(Ok((frames, outcome))) = opening else {
        return Err(TunnelFailure::NoPeer);
    };
    match outcome {
        TunnelOutcome::Connected => {
            let parts = frames.into_parts();
            Ok(OpenTunnel {
                peer,
                stream: parts.io,
                received: parts.read_buf.freeze(),
            })
        }
        TunnelOutcome::Refused => Err(TunnelFailure::Refused),
        TunnelOutcome::Unreachable => Err(TunnelFailure::Unreachable),
        TunnelOutcome::Rejected => Err(TunnelFailure::NoPeer),
    }
}

type Frames = Framed<TcpStream, LengthDelimitedCodec>;

async fn request_tunnel(peer: SocketAddr, request: PullRequest) -> Result<(Frames, TunnelOutcome)> {
    let mut frames = Framed::new(connect(peer).await?, codec());
    frames.send(Bytes::from(request.encode_to_vec())).await?;
    let frame = frames.next().await.ok_or(ErrorKind::UnexpectedEof)??;
    let answer = PullAnswer::decode(frame).map_err(std::io::Error::other)?;
    Ok((frames, answer.tunnel()))
}

/// Serves a peer's request for a tunnel until either end closes it.
pub(super) async fn serve(
    gateway: &Arc<Gateway>,
    mut frames: Frames,
    request: &TunnelRequest,
) -> Result<()> {
    let identity = request.identity();
    let (outcome, target) = connect_target(gateway, &identity).await;
    gateway.metrics.paths.served(outcome);
    let answer = PullAnswer {
        tunnel: outcome.into(),
        ..PullAnswer::default()
    };
    let answer = Bytes::from(answer.encode_to_vec());
    timeout(OPEN_TIMEOUT, frames.send(answer)).await??;
    let Some(target) = target else {
        return Ok(());
    };
    // Keeps the instance from ending during a stop while a peer's call depends on it.
    let _open = gateway.open_call();
    let parts = frames.into_parts();
    let buffer_bytes = gateway.options.callers.receive_buffer_bytes;
    for stream in [&parts.io, &target] {
        // What the other end does not accept yet waits unread, and is memory too.
        SockRef::from(stream).set_recv_buffer_size(buffer_bytes)?;
    }
    bound_unsent(&target)?;
    let (from_peer, to_peer) = parts.io.into_split();
    let (from_target, mut to_target) = tokio::io::split(OrderlyStream::new(target));
    to_target.write_all(&parts.read_buf).await?;
    let passing = async {
        let mut to_target = pin!(pass_to_target(gateway, from_peer, to_target));
        tokio::select! {
            // A peer that closes its end has cancelled the call.
            ended = to_target.as_mut() => return ended,
            ended = pass_to_peer(gateway, from_target, to_peer) => ended?,
        }
        // A target that has nothing more to say may still read the rest of the call.
        to_target.await
    };
    tokio::select! {
        ended = passing => ended,
        () = gateway.cut() => Ok(()),
    }
}

/// Connects to a target for a peer. Only this instance's own path is tried, so that a request is
/// never passed on twice.
async fn connect_target(
    gateway: &Gateway,
    identity: &TargetIdentity,
) -> (TunnelOutcome, Option<TcpStream>) {
    let address = {
        let now = gateway.now();
        let state = gateway.state();
        let is_free = *gateway.phase.borrow() == Phase::Serving
            && !state.pressure.is_overloaded(now)
            && state.reaches(now, identity);
        let address = state.target_table.address_in_use(now, identity);
        address.filter(|_| is_free)
    };
    let Some(address) = address else {
        return (TunnelOutcome::Rejected, None);
    };
    match timeout(TARGET_CONNECT_TIMEOUT, connect(address)).await {
        Ok(Ok(stream)) => (TunnelOutcome::Connected, Some(stream)),
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            (TunnelOutcome::Refused, None)
        }
        Ok(Err(_)) | Err(_) => (TunnelOutcome::Unreachable, None),
    }
}

async fn pass_to_target(
    gateway: &Gateway,
    mut from_peer: OwnedReadHalf,
    mut to_target: WriteHalf<OrderlyStream<TcpStream>>,
) -> Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let bytes = from_peer.read(&mut chunk).await?;
        if bytes == 0 {
            return Ok(());
        }
        note_passed(gateway, bytes);
        to_target.write_all(&chunk[..bytes]).await?;
    }
}

async fn pass_to_peer(
    gateway: &Gateway,
    mut from_target: ReadHalf<OrderlyStream<TcpStream>>,
    to_peer: OwnedWriteHalf,
) -> Result<()> {
    let mut to_peer = FramedWrite::new(to_peer, codec());
    let mut chunk = BytesMut::with_capacity(CHUNK_BYTES);
    loop {
        chunk.reserve(CHUNK_BYTES);
        let bytes = from_target.read_buf(&mut chunk).await?;
        note_passed(gateway, bytes);
        // The empty chunk after the last byte tells the end from a tunnel that broke.
        to_peer.send(chunk.split().freeze()).await?;
        if bytes == 0 {
            return Ok(());
        }
    }
}

fn note_passed(gateway: &Gateway, bytes: usize) {
    let now = gateway.now();
    let pressure = &mut gateway.state().pressure;
    pressure.note_received(now, bytes);
    pressure.note_sent(now, bytes);
}
