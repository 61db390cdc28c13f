//! Queues of bulk prompts of one instance, by service, and the calls that wait in them.

use damaskstile_core::prelude::*;
use tokio::sync::oneshot;

use crate::prompt_decision::PromptDecision;
use crate::prompt_queue::{PromptQueue, PromptTicket};
use crate::queued_prompt::QueuedPrompt;

/// Queues of bulk prompts of one instance, by service, and the calls that wait in them.
#[derive(Debug)]
pub struct PromptQueues {
    link_bytes_per_s: u64,
    queues: BTreeMap<ServiceId, PromptQueue>,
    /// Where the decisions go.
    callers: BTreeMap<(ServiceId, PromptTicket), oneshot::Sender<PromptDecision>>,
}

impl PromptQueues {
    /// Creates the queues of an instance whose link carries so many bytes a second.
    #[must_use]
    pub fn new(link_bytes_per_s: u64) -> Self {
        Self {
            link_bytes_per_s,
            queues: BTreeMap::new(),
            callers: BTreeMap::new(),
        }
    }

    /// Adds a prompt. The decision about it arrives at the returned receiver, where it may already
    /// be.
    pub fn add(
        &mut self,
        now: Duration,
        service: &str,
        limit: Option<usize>,
        prompt: QueuedPrompt,
    ) -> (PromptTicket, oneshot::Receiver<PromptDecision>) {
        let link_bytes_per_s = self.link_bytes_per_s;
        let queue = self.queues.entry(service.to_owned());
        let queue = queue.or_insert_with(|| PromptQueue::new(link_bytes_per_s));
        queue.set_limit(limit);
        let ticket = queue.add(prompt);
        let (sender, receiver) = oneshot::channel();
        self.callers.insert((service.to_owned(), ticket), sender);
        self.decide(now, service);
        (ticket, receiver)
    }

    /// Removes a prompt, so that another one may get its place.
    pub fn remove(
        &mut self,
        now: Duration,
        service: &str,
        ticket: PromptTicket,
        is_prefilled: bool,
    ) {
        self.callers.remove(&(service.to_owned(), ticket));
        if let Some(queue) = self.queues.get_mut(service) {
            queue.remove(now, ticket, is_prefilled);
            self.decide(now, service);
        }
    }

    /// Sets how many prompts of each service may be sent at the same time.
    pub fn set_limits(&mut self, now: Duration, limit_of: impl Fn(&str) -> Option<usize>) {
        let services: Vec<ServiceId> = self.queues.keys().cloned().collect();
        for service in services {
            if let Some(queue) = self.queues.get_mut(&service) {
                queue.set_limit(limit_of(&service));
            }
            self.decide(now, &service);
        }
    }

    /// Returns the number of prompts that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queues.values().map(PromptQueue::waiting).sum()
    }

    fn decide(&mut self, now: Duration, service: &str) {
        let Some(queue) = self.queues.get_mut(service) else {
            return;
        };
        for (ticket, decision) in queue.decide(now) {
            if let Some(caller) = self.callers.remove(&(service.to_owned(), ticket)) {
                // A call that is gone frees its place itself.
                let _ = caller.send(decision);
            }
        }
    }
}
