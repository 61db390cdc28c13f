//! Exchange of suspect contents, under which targets have ended.

use damaskstile_requests::Fingerprint;

use super::{DatagramBody, Peers, SuspectReport};

impl Peers {
    /// Sends what is known of a content to the peers that collect target ends for it.
    pub(super) async fn send_suspect(&self, content: &Fingerprint) {
        let now = self.gateway.now();
        let (suspect, collectors) = {
            let state = self.gateway.state();
            let suspect = state.suspects.report(now, content);
            (suspect, state.collectors(content))
        };
        let Some(report) = suspect.map(SuspectReport::of) else {
            return;
        };
        for address in collectors {
            self.send(address, DatagramBody::Suspect(report.clone()))
                .await;
        }
    }

    /// Processes a peer's reports of suspect contents.
    pub(super) fn handle_suspects(&self, from: &str, reports: &[SuspectReport]) {
        for suspect in reports.iter().filter_map(SuspectReport::to_suspect) {
            self.gateway.receive_suspect_report(from, suspect);
        }
    }
}
