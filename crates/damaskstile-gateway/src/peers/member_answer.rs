//! Pulls of the list of members: which instances exist and where they are.
//!
//! In a large fleet each instance sends its digests to a random subset of its peers, so a newly
//! started instance in a fleet of hundreds takes a minute and more to discover all others. Until
//! then it does not know which peers to ask for tokens or lists.

use crate::gateway::Gateway;
use crate::member::Member;

use super::PeerReport;
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
    let members = members.filter_map(|(name, member)| member.report(now, name));
    PullAnswer {
        members: members.collect(),
        ..PullAnswer::default()
    }
}

/// Adds the members in an answer that are not known yet. For known members the local record is
/// better.
pub(super) fn apply(gateway: &Gateway, reports: &[PeerReport]) {
    let now = gateway.now();
    let own = &gateway.options.identity.instance;
    let mut state = gateway.state();
    for report in reports.iter().filter(|report| report.instance != *own) {
        if state.members.contains_key(&report.instance) {
            continue;
        }
        if let Some(member) = Member::from_report(now, report) {
            state.members.insert(report.instance.clone(), member);
            state.target_table.add_instance(&report.instance, 0);
        }
    }
}
