//! `member_answer` tells a peer which instances there are, and takes it in.
//!
//! An instance tells some others by chance of itself, so whoever starts in a fleet of hundreds hears
//! of all the others one by one, for a minute and more. Until then it does not know whom to ask for
//! tokens or lists.

use crate::gateway::Gateway;
use crate::member::Member;

use super::PeerWord;
use super::pull_messages::{PullAnswer, PullRequest};

/// Makes the request.
pub(super) fn request() -> PullRequest {
    PullRequest {
        is_members: true,
        ..PullRequest::default()
    }
}

/// Makes the answer.
pub(super) fn make(gateway: &Gateway) -> PullAnswer {
    let now = gateway.now();
    let state = gateway.state();
    let members = state.members.iter();
    let members = members.filter_map(|(name, member)| member.word(now, name));
    PullAnswer {
        members: members.collect(),
        ..PullAnswer::default()
    }
}

/// Takes in what a peer told. Of what is known already the own word is better.
pub(super) fn take(gateway: &Gateway, words: &[PeerWord]) {
    let now = gateway.now();
    let own = &gateway.options.identity.instance;
    let mut state = gateway.state();
    for word in words.iter().filter(|word| word.instance != *own) {
        if state.members.contains_key(&word.instance) {
            continue;
        }
        if let Some(member) = Member::told(now, word) {
            state.members.insert(word.instance.clone(), member);
            state.book.meet(&word.instance, 0);
        }
    }
}
