//! Pulls of the catalogue between peers, whole or as a difference from a known version.

use bytes::Bytes;
use damaskstile_core::random::stable_hash_of_bytes;

use crate::content_changes::rebuild;
use crate::follow::apply_catalogue;
use crate::gateway::Gateway;
use crate::objects::StoredObject;
use crate::state::State;

use super::pull_messages::{PullAnswer, PullRequest};

/// Makes the request for a catalogue newer than the known one.
pub(super) fn request(state: &State, whole_bytes_max: u64) -> PullRequest {
    let known = state.stored_catalogue.as_ref();
    PullRequest {
        base: known.map_or(0, |object| object.version),
        whole_bytes_max,
        ..PullRequest::default()
    }
}

/// Makes the answer. It is empty if only the whole catalogue would help and that exceeds the limit
/// of the request.
pub(super) fn make(gateway: &Gateway, request: &PullRequest) -> PullAnswer {
    let state = gateway.state();
    let Some(object) = &state.stored_catalogue else {
        return PullAnswer::default();
    };
    let answer = PullAnswer {
        version: object.version,
        name: object.name.clone(),
        content_hash: Some(stable_hash_of_bytes(&object.content)),
        ..PullAnswer::default()
    };
    let pieces = state.catalogue_changes.since(request.base, &object.content);
    if let Some(pieces) = pieces.filter(|_| request.base > 0) {
        let base = request.base;
        return PullAnswer {
            base,
            pieces,
            ..answer
        };
    }
    let bytes = u64::try_from(object.content.len()).unwrap_or(u64::MAX);
    if request.whole_bytes_max > 0 && bytes > request.whole_bytes_max {
        return PullAnswer::default();
    }
    PullAnswer {
        content: object.content.clone(),
        ..answer
    }
}

/// Applies a pulled catalogue. An answer that does not reproduce the peer's catalogue is dropped;
/// the catalogue is then pulled again or read from the store.
pub(super) fn apply(gateway: &Gateway, answer: PullAnswer, source: &str) {
    if answer.version == 0 {
        return;
    }
    let content = if answer.base == 0 {
        Some(answer.content)
    } else {
        rebuild_catalogue(gateway, &answer)
    };
    let Some(content) = content else {
        return;
    };
    let object = StoredObject {
        name: answer.name,
        version: answer.version,
        content,
    };
    apply_catalogue(gateway, &object, source);
}

fn rebuild_catalogue(gateway: &Gateway, answer: &PullAnswer) -> Option<Bytes> {
    let known = gateway.state().stored_catalogue.clone();
    let base = known.filter(|object| object.version == answer.base)?;
    let content = rebuild(&base.content, &answer.pieces)?;
    let is_identical = answer.content_hash == Some(stable_hash_of_bytes(&content));
    is_identical.then(|| Bytes::from(content))
}
