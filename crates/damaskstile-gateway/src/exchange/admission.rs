//! Resolves the route, service and account of a call before it is served.

use damaskstile_core::prelude::*;
use http::{header, request};

use crate::call::CallHead;
use crate::gateway::Gateway;
use crate::record::Record;
use crate::reply::{RETRY_LATER, Refusal};
use crate::state::Terms;

/// Resolves the terms of a call (route, service, account and priority) and adds them to its log
/// record.
///
/// # Errors
///
/// Returns the refusal of a call that the catalogue does not allow.
pub(super) fn admit(
    gateway: &Gateway,
    parts: &request::Parts,
    head: &CallHead,
    record: &mut Record,
) -> Result<Terms, Refusal> {
    let host = parts
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or("");
    let host = host.split(':').next().unwrap_or("").to_ascii_lowercase();
    let now = gateway.now();
    let terms = gateway.state().terms(now, &host, parts.uri.path(), head);
    let terms = terms.map_err(|code| {
        let wait = (code == RefusalCode::Starting).then_some(RETRY_LATER);
        Refusal::not_run(code, wait)
    })?;
    record.set_account(terms.account.as_deref().unwrap_or("-"));
    record.add("route", &terms.route.name);
    record.add("service", &terms.service);
    record.add("version", terms.catalogue.version());
    record.add("version_age_ms", terms.catalogue_age.as_millis());
    Ok(terms)
}
