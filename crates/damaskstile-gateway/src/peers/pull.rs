//! `pull` fetches from a peer what is too large for a datagram.

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
use crate::wanted::{Pulled, Wanted};

use super::pull_messages::{PullAnswer, PullRequest, PulledTarget};
use super::{catalogue_answer, list_answer, member_answer};

/// Largest frame: a stored object with room for its name.
const FRAME_BYTES_MAX: usize = 2 * 1024 * 1024;
/// Time that a part of a pull may take: 100 KB for each of ten peers at once over 10 Mbit/s, with
/// room.
const PULL_LIMIT: Duration = Duration::from_millis(1_500);
/// Pulls that are tried until one brings what is wanted. Then a peer's next digest brings more.
const PULLS_MAX: usize = 4;
/// Longest pause between them.
const PULL_PAUSE_MS: u64 = 100;
/// Pulls that are answered at once. More would share the link until all of them take too long;
/// whoever is refused asks another.
const ANSWERS_MAX: usize = 6;
/// Time for which a pulled catalogue may fill a link. Instances that have one hand it on, so all of
/// some hundreds have it after eight such times, well within the time that a change may take.
const PULLED_TIME_MAX: Duration = Duration::from_millis(60);
/// Pause after a failure to accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Pulls from a peer, unless the store was faster.
pub(super) async fn pull(gateway: Arc<Gateway>, peer: SocketAddr, wanted: Wanted, delay: Duration) {
    let pulled = wanted.pulled();
    // One at a time: many digests tell of the same version, and pulls beside each other would
    // only share the peers' links until all of them take too long.
    if !gateway.state().pulling.insert(pulled) {
        return;
    }
    tokio::time::sleep(delay).await;
    for pulls_left in (0..PULLS_MAX).rev() {
        if !lacks(&gateway, wanted) {
            break;
        }
        // Whoever told of it has all of it.
        let source = if pulls_left == 0 {
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
    gateway.state().pulling.remove(&pulled);
    if pulled == Pulled::Catalogue && lacks(&gateway, wanted) {
        gateway.catalogue_wanted.notify_one();
    }
}

fn lacks(gateway: &Gateway, wanted: Wanted) -> bool {
    gateway.state().lacks(wanted)
}

/// Returns the size of the largest catalogue that is pulled whole. A larger one is read faster from
/// the store than from a peer with a narrow link.
fn whole_bytes_max(gateway: &Gateway) -> u64 {
    if gateway.state().contact.is_lost() {
        return 0;
    }
    let link_bytes_per_s = u128::from(gateway.options.link_bytes_per_s);
    let bytes = link_bytes_per_s * PULLED_TIME_MAX.as_millis() / 1000;
    u64::try_from(bytes).unwrap_or(u64::MAX)
}

/// Pulls from one peer; returns whether another may have what is wanted, should it still lack.
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
    // A pull that fails is made again, from another.
    let Ok(answer) = fetch(peer, request).await else {
        return true;
    };
    let source = peer.to_string();
    match wanted {
        Wanted::Targets(_) => list_answer::take(gateway, answer, &source),
        Wanted::Members => member_answer::take(gateway, &answer.members),
        Wanted::Catalogue(_) if answer.version == 0 => return false,
        Wanted::Catalogue(_) => catalogue_answer::take(gateway, answer, &source),
    }
    true
}

/// Fetches an answer, part by part. Each part has the time of a pull: a list grows with the targets
/// that there are, and a link that others use too brings it all the same.
async fn fetch(peer: SocketAddr, request: PullRequest) -> std::io::Result<PullAnswer> {
    let begin = async {
        let mut frames = Framed::new(connect(peer).await?, codec());
        frames.send(Bytes::from(request.encode_to_vec())).await?;
        std::io::Result::Ok(frames)
    };
    let mut frames = timeout(PULL_LIMIT, begin).await??;
    let mut whole: Option<PullAnswer> = None;
    loop {
        let frame = timeout(PULL_LIMIT, frames.next()).await?;
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

/// Answers pulls until the process ends.
pub async fn serve(gateway: Arc<Gateway>, listener: TcpListener) {
    let places = Arc::new(Semaphore::new(ANSWERS_MAX));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
                    continue;
                };
                let answering = answer(Arc::clone(&gateway), stream);
                let answering = async move {
                    // Whoever does not get its answer pulls again.
                    let _ = answering.await;
                    drop(place);
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

async fn answer(gateway: Arc<Gateway>, stream: TcpStream) -> std::io::Result<()> {
    let mut frames = Framed::new(stream, codec());
    let Some(frame) = timeout(PULL_LIMIT, frames.next()).await? else {
        return Ok(());
    };
    let request = PullRequest::decode(frame?).map_err(std::io::Error::other)?;
    let is_long = request.is_targets || request.is_members;
    if is_long && gateway.state().pressure.is_high(gateway.now()) {
        // Whoever is refused asks another, and calls here wait for the same link.
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
        timeout(PULL_LIMIT, frames.send(Bytes::from(bytes))).await??;
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

/// Cuts a list of targets into parts of so many; 0 for all in one.
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

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_BYTES_MAX)
        .new_codec()
}
