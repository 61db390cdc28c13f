//! Fixtures for the tests of suspects.

#![allow(dead_code)] // each test uses a part

pub mod network;

use std::time::Duration;

use damaskstile_core::prelude::*;
use damaskstile_requests::{Content, Fingerprint, Suspects};

/// Client account of all calls, unless a test names another.
pub const ACCOUNT: &str = "one";

pub fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the content of a call with the given body.
pub fn content(body: &str) -> Content<'_> {
    Content {
        account: ACCOUNT,
        method: "POST",
        host: "host",
        path: "/ask/",
        body: body.as_bytes(),
    }
}

pub fn fingerprint(body: &str) -> Fingerprint {
    Fingerprint::of(&content(body))
}

/// Records a crash of a target that ran the content with the given body.
pub fn crash(suspects: &mut Suspects, ms: u64, body: &str, target: &str) {
    let target = TargetIdentity::new(target, None);
    let _ = suspects.note_crash(at_ms(ms), fingerprint(body), ACCOUNT, target);
}

/// Merges all reports of a peer.
pub fn merge_reports_of(own: &mut Suspects, peer: &Suspects, now: Duration) {
    for report in peer.reports(now) {
        let _ = own.merge_report(now, report);
    }
}
