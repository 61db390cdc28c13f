//! Pulls over TCP of data that is too large for a datagram.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use damaskstile_core::prelude::*;
use damaskstile_http::socket::connect;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::gateway::Gateway;
use crate::spawn_counted;
use crate::wanted::{PullKind, Wanted};

use super::pull_messages::{PullAnswer, PullRequest, PulledTarget};
use super::{catalogue_answer, list_answer, member_answer, tunnel};

/// Largest frame, in bytes: a stored object with room for its name.
const FRAME_BYTES_MAX: usize = 2 * 1024 * 1024;
/// Time limit for one part of a pull: 100 KB for each of ten concurrent peers over 10 Mbit/s, with
/// a margin.
const PULL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Attempts before a pull is given up. After that, the next digest of a peer starts another one.
const PULL_ATTEMPTS_MAX: usize = 4;
/// Upper bound of the random pause between attempts, in milliseconds.
const PULL_PAUSE_MS: u64 = 100;
/// Limit on concurrently served pulls. More would share the link until all of them time out; a
/// refused peer asks another instance.
const SERVED_PULLS_MAX: usize = 6;
/// Limit on concurrently served tunnels, each with two connections.
const SERVED_TUNNELS_MAX: usize = 256;
/// Longest time for which a pulled catalogue may occupy the link. Instances that have the catalogue
/// pass it on, so some hundreds of instances have it after eight such times, well within the time
/// limit for a change to take effect.
const WHOLE_CATALOGUE_TIME_MAX: Duration = Duration::from_millis(60);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Pulls from a peer, unless the store delivers the data first.
pub(super) async fn pull(gateway: Arc<Gateway>, peer: SocketAddr, wanted: Wanted, delay: Duration) {
    let kind = wanted.kind();
    // Only one pull of a kind runs at a time: many digests announce the same version, and
    // concurrent pulls would share the peers' links until all of them time out.
    if !gateway.state().pulling.insert(kind) {
        return;
    }
    tokio::time::sleep(delay).await;
    for attempts_left in (0..PULL_ATTEMPTS_MAX).rev() {
        if !lacks(&gateway, wanted) {
            break;
        }
        // The last attempt goes to the peer that announced the data and so has all of it.
        let source = if attempts_left == 0 {
            peer
        } else {
            let now = gateway.now();
            gateway.state().source(now, wanted).unwrap_or(peer)
        };
        if !pull_once(&gateway, source, wanted).await {
            break;
        }
        let pause_ms = gateway.state().random.below(PULL_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
    gateway.state().pulling.remove(&kind);
    if kind == PullKind::Catalogue && lacks(&gateway, wanted) {
        gateway.catalogue_wanted.notify_one();
    }
}

fn lacks(gateway: &Gateway, wanted: Wanted) -> bool {
    gateway.state().lacks(wanted)
}

/// Returns the size of the largest catalogue that is pulled whole, in bytes; 0 for no limit. A
/// larger one is read faster from the store than from a peer with a slow link.
fn whole_bytes_max(gateway: &Gateway) -> u64 {
    if gateway.state().contact.is_lost() {
        return 0;
    }
    let link_bytes_per_s = u128::from(gateway.options.link_bytes_per_s);
    let bytes = link_bytes_per_s * WHOLE_CATALOGUE_TIME_MAX.as_millis() / 1000;
    u64::try_from(bytes).unwrap_or(u64::MAX)
}

/// Pulls from one peer; returns whether another attempt may help if the data is still missing.
async fn pull_once(gateway: &Gateway, peer: SocketAddr, wanted: Wanted) -> bool {
    let request = match wanted {
        Wanted::Targets(_) => {
            let now = gateway.now();
            list_answer::request(&mut gateway.state(), now)
        }
        Wanted::Catalogue(_) => {
            let bytes_max = whole_bytes_max(gateway);
            catalogue_answer::request(&gateway.state(), bytes_max)
        }
        Wanted::Members => member_answer::request(),
    };
    // A failed pull is retried, from another peer.
    let Ok(answer) = fetch(peer, request).await else {
        return true;
    };
    let source = peer.to_string();
    match wanted {
        Wanted::Targets(_) => list_answer::apply(gateway, answer, &source),
        Wanted::Members => member_answer::apply(gateway, &answer.members),
        Wanted::Catalogue(_) if answer.version == 0 => return false,
        Wanted::Catalogue(_) => catalogue_answer::apply(gateway, answer, &source),
    }
    true
}

/// Fetches an answer part by part. The time limit applies to each part: the list grows with the
/// number of targets and must still arrive over a shared link.
async fn fetch(peer: SocketAddr, request: PullRequest) -> std::io::Result<PullAnswer> {
    let begin = async {
        let mut frames = Framed::new(connect(peer).await?, codec());
        frames.send(Bytes::from(request.encode_to_vec())).await?;
        std::io::Result::Ok(frames)
    };
    let mut frames = timeout(PULL_TIMEOUT, begin).await??;
    let mut whole: Option<PullAnswer> = None;
    loop {
        let frame = timeout(PULL_TIMEOUT, frames.next()).await?;
        let frame = frame.ok_or(std::io::ErrorKind::UnexpectedEof)??;
        let part = PullAnswer::decode(frame).map_err(std::io::Error::other)?;
        let has_more = part.has_more;
        match &mut whole {
            Some(whole) => whole.targets.extend(part.targets),
            None => whole = Some(part),
        }
        if !has_more {
            return whole.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// Serves pulls and tunnels until the process ends.
pub async fn serve(gateway: Arc<Gateway>, listener: TcpListener) {
    let permits = Permits::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let answering = answer(Arc::clone(&gateway), permits.clone(), stream);
                let answering = async move {
                    // A peer that receives no answer asks again, or another instance.
                    let _ = answering.await;
                };
                spawn_counted(&gateway, "answer_pulls", answering);
            }
            Err(error) => {
                let error = error.to_string();
                gateway.log(EventCode::HostFailed, &[("pulls", &error)]);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Permits for what is served at a time.
#[derive(Debug, Clone)]
struct Permits {
    pulls: Arc<Semaphore>,
    tunnels: Arc<Semaphore>,
}

impl Default for Permits {
    fn default() -> Self {
        Self {
            pulls: Arc::new(Semaphore::new(SERVED_PULLS_MAX)),
            tunnels: Arc::new(Semaphore::new(SERVED_TUNNELS_MAX)),
        }
    }
}

async fn answer(gateway: Arc<Gateway>, permits: Permits, stream: TcpStream) -> std::io::Result<()> {
    let mut frames = Framed::new(stream, codec());
    let Some(frame) = timeout(PULL_TIMEOUT, frames.next()).await? else {
        return Ok(());
    };
    let request = PullRequest::decode(frame?).map_err(std::io::Error::other)?;
    let permits = match request.tunnel {
        Some(_) => permits.tunnels,
        None => permits.pulls,
    };
    let Ok(_permit) = permits.try_acquire_owned() else {
        return Ok(());
    };
    if let Some(request) = &request.tunnel {
        return tunnel::serve(&gateway, frames, request).await;
    }
    let is_long = request.is_targets || request.is_members;
    if is_long && gateway.state().pressure.is_overloaded(gateway.now()) {
        // A refused peer asks another instance, and calls here compete for the same link.
        return Ok(());
    }
    let answer = make_answer(&gateway, &request);
    let duty = match (&request, answer.since, answer.base) {
        (PullRequest { is_members, .. }, _, _) if *is_members => "members",
        (PullRequest { is_targets, .. }, 0, _) if *is_targets => "list",
        (PullRequest { is_targets, .. }, _, _) if *is_targets => "list_changes",
        (_, _, 0) => "catalogue",
        (_, _, _) => "catalogue_changes",
    };
    let parts = in_parts(answer, request.part_targets);
    for part in parts {
        let bytes = part.encode_to_vec();
        gateway.sent_bytes.add(duty, bytes.len());
        let now = gateway.now();
        gateway.state().pressure.note_sent(now, bytes.len());
        timeout(PULL_TIMEOUT, frames.send(Bytes::from(bytes))).await??;
    }
    Ok(())
}

fn make_answer(gateway: &Gateway, request: &PullRequest) -> PullAnswer {
    if request.is_members {
        member_answer::make(gateway)
    } else if request.is_targets {
        list_answer::make(gateway, request)
    } else {
        catalogue_answer::make(gateway, request)
    }
}

/// Splits a list of targets into parts of `part_targets` entries; 0 keeps it in one part.
fn in_parts(mut answer: PullAnswer, part_targets: u64) -> Vec<PullAnswer> {
    let part_targets = usize::try_from(part_targets).unwrap_or(usize::MAX);
    if part_targets == 0 {
        return vec![answer];
    }
    let mut targets = std::mem::take(&mut answer.targets).into_iter();
    answer.targets = targets.by_ref().take(part_targets).collect();
    let mut parts = vec![answer];
    loop {
        let next: Vec<PulledTarget> = targets.by_ref().take(part_targets).collect();
        if next.is_empty() {
            return parts;
        }
        if let Some(last) = parts.last_mut() {
            last.has_more = true;
        }
        parts.push(PullAnswer {
            targets: next,
            ..PullAnswer::default()
        });
    }
}

pub(super) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_BYTES_MAX)
        .new_codec()
}
