//! `suspects` tells peers of contents under which targets ended, and hears of them.

use damaskstile_requests::Fingerprint;

use super::{DatagramBody, Peers, ToldSuspect};

impl Peers {
    /// Tells those that collect the ends under a content what is known of it here.
    pub(super) async fn tell_suspect(&self, content: &Fingerprint) {
        let now = self.gateway.now();
        let (word, collectors) = {
            let state = self.gateway.state();
            let word = state.suspects.word(now, content);
            (word, state.collectors(content))
        };
        let Some(told) = word.map(ToldSuspect::of) else {
            return;
        };
        for address in collectors {
            self.send(address, DatagramBody::Suspect(told.clone()))
                .await;
        }
    }

    /// Takes in what a peer tells of contents.
    pub(super) fn hear_suspects(&self, from: &str, told: &[ToldSuspect]) {
        for word in told.iter().filter_map(ToldSuspect::word) {
            self.gateway.hear_suspect(from, word);
        }
    }
}
