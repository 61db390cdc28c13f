//! Fixtures of the tests of suspects.

#![allow(dead_code)] // each test uses a part

use std::time::Duration;

use damaskstile_core::prelude::*;
use damaskstile_requests::{Content, Fingerprint, Suspects};

/// The account of the tests.
pub const ACCOUNT: &str = "one";

pub fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Makes the content of a call with a body.
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

/// Has a target end under a content.
pub fn end(suspects: &mut Suspects, ms: u64, body: &str, target: &str) {
    let target = TargetIdentity::new(target, None);
    let _ = suspects.note_end(at_ms(ms), fingerprint(body), ACCOUNT, target);
}

/// Has an instance hear all that a peer tells.
pub fn hear_all(own: &mut Suspects, peer: &Suspects, now: Duration) {
    for word in peer.told(now) {
        let _ = own.hear(now, word);
    }
}
