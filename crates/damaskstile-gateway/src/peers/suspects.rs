//! Exchange of suspect contents, under which targets have ended.

use damaskstile_requests::Fingerprint;

use super::{DatagramBody, Peers, ToldSuspect};

impl Peers {
    /// Sends what is known of a content to the peers that collect target ends for it.
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

    /// Processes a peer's reports of suspect contents.
    pub(super) fn hear_suspects(&self, from: &str, told: &[ToldSuspect]) {
        for word in told.iter().filter_map(ToldSuspect::word) {
            self.gateway.hear_suspect(from, word);
        }
    }
}
