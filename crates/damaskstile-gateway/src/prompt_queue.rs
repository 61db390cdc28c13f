//! Queue of the bulk prompts of one service at one instance. No I/O: it is told what happens, and
//! returns what follows.

use damaskstile_core::prelude::*;

use crate::prompt_decision::PromptDecision;
use crate::queued_prompt::QueuedPrompt;

/// Most prompts that wait.
const PROMPTS_MAX: usize = 256;
/// Weight of the newest prompt in the mean time for which a place is held.
const HOLD_WEIGHT: f64 = 0.1;

/// Factor on the expected wait of a prompt that is new. The time for which places are held varies,
/// and a prompt that was accepted with no time to spare would be rejected after half of its wait.
const NEW_WAIT_FACTOR: f64 = 1.25;

/// Number of a prompt in a queue.
pub type PromptTicket = u64;

/// Order of the prompts that wait: by rank, by the time left to their objective, by arrival.
type Position = (u8, Duration, PromptTicket);

/// Queue of the bulk prompts of one service at one instance.
///
/// A limited number of prompts hold a place, from their send to their first event. The others wait
/// here instead of at a target, where they would stall its streams and could not be reordered.
#[derive(Debug, Clone)]
pub struct PromptQueue {
    /// Most bytes of the prompts that wait.
    bytes_max: usize,
    /// Prompts that may be sent at the same time; `None` if there is no limit.
    limit: Option<usize>,
    next_ticket: PromptTicket,
    /// Prompts from this one on are new.
    first_new: PromptTicket,
    waiting: BTreeMap<Position, QueuedPrompt>,
    waiting_bytes: usize,
    /// When each prompt that has a place got it.
    started: BTreeMap<PromptTicket, Duration>,
    /// Mean time for which a place is held; `None` before the first prompt was prefilled.
    hold: Option<Duration>,
}

impl PromptQueue {
    /// Creates an empty queue without a limit, at an instance whose link carries so many bytes a
    /// second.
    #[must_use]
    pub fn new(link_bytes_per_s: u64) -> Self {
        Self {
            bytes_max: usize::try_from(link_bytes_per_s).unwrap_or(usize::MAX),
            limit: None,
            next_ticket: 0,
            first_new: 0,
            waiting: BTreeMap::new(),
            waiting_bytes: 0,
            started: BTreeMap::new(),
            hold: None,
        }
    }

    /// Returns the number of prompts that wait.
    ///
    /// ```
    /// use damaskstile_gateway::prompt_queue::PromptQueue;
    /// assert_eq!(PromptQueue::new(1_250_000).waiting(), 0);
    /// ```
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of prompts that hold a place.
    #[must_use]
    pub fn started(&self) -> usize {
        self.started.len()
    }

    /// Tells whether nothing waits and no place is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.started.is_empty()
    }

    /// Sets how many prompts may be sent at the same time.
    pub fn set_limit(&mut self, limit: Option<usize>) {
        self.limit = limit;
    }

    /// Adds a prompt. [`Self::decide`] then tells what follows.
    pub fn add(&mut self, prompt: QueuedPrompt) -> PromptTicket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.waiting_bytes += prompt.bytes;
        self.waiting
            .insert((prompt.rank, prompt.due_at, ticket), prompt);
        ticket
    }

    /// Removes a prompt: its first event arrived, it failed, or its caller left. A place that it
    /// held is free.
    pub fn remove(&mut self, now: Duration, ticket: PromptTicket, is_prefilled: bool) {
        if let Some(started_at) = self.started.remove(&ticket) {
            if is_prefilled {
                self.note_hold(now.saturating_sub(started_at));
            }
            return;
        }
        let position = self.waiting.keys().find(|(_, _, other)| *other == ticket);
        if let Some(position) = position.copied() {
            self.take(position);
        }
    }

    /// Decides about prompts that wait, after any change: in order they get the places that are
    /// free, and those are rejected for which the queue has no room or too little time is left.
    pub fn decide(&mut self, now: Duration) -> Vec<(PromptTicket, PromptDecision)> {
        let mut decisions = Vec::new();
        while let Some((position, prompt)) = self.first() {
            // A prompt that need not wait is sent although it will be late, as without a queue: one
            // whose prefill exceeds its objective would otherwise never be.
            let is_alone = position.2 >= self.first_new && self.waiting.len() == 1;
            let need_not_wait = is_alone && self.has_place();
            let is_late = now > prompt.latest_start() && !need_not_wait;
            if !is_late && !self.has_place() {
                break;
            }
            let decision = if is_late {
                self.reject(position, &prompt)
            } else {
                self.take(position);
                self.started.insert(position.2, now);
                PromptDecision::Start
            };
            decisions.push((position.2, decision));
        }
        while self.is_over_bound()
            && let Some((position, prompt)) = self.last()
        {
            let decision = self.reject(position, &prompt);
            decisions.push((position.2, decision));
        }
        for (position, prompt) in self.hopeless(now) {
            let decision = self.reject(position, &prompt);
            decisions.push((position.2, decision));
        }
        self.first_new = self.next_ticket;
        decisions
    }

    fn is_over_bound(&self) -> bool {
        self.waiting.len() > PROMPTS_MAX || self.waiting_bytes > self.bytes_max
    }

    fn last(&self) -> Option<(Position, QueuedPrompt)> {
        let last = self.waiting.last_key_value();
        last.map(|(position, prompt)| (*position, *prompt))
    }

    fn first(&self) -> Option<(Position, QueuedPrompt)> {
        let first = self.waiting.first_key_value();
        first.map(|(position, prompt)| (*position, *prompt))
    }

    fn has_place(&self) -> bool {
        self.limit.is_none_or(|limit| self.started.len() < limit)
    }

    fn take(&mut self, position: Position) {
        if let Some(prompt) = self.waiting.remove(&position) {
            self.waiting_bytes -= prompt.bytes;
        }
    }

    /// Rejects a prompt. It should come again once the others have been sent.
    fn reject(&mut self, position: Position, prompt: &QueuedPrompt) -> PromptDecision {
        self.take(position);
        let retry_after = self.time_for(self.waiting.len() + 1, prompt);
        PromptDecision::Reject { retry_after }
    }

    /// Returns the prompts whose turn will come too late.
    fn hopeless(&self, now: Duration) -> Vec<(Position, QueuedPrompt)> {
        let mut ahead = 0;
        let mut hopeless = Vec::new();
        for (position, prompt) in &self.waiting {
            // One place becomes free for each prompt ahead, and one more.
            let is_new = position.2 >= self.first_new;
            let factor = if is_new { NEW_WAIT_FACTOR } else { 1.0 };
            let wait = self.time_for(ahead + 1, prompt).mul_f64(factor);
            if now + wait > prompt.latest_start() {
                hopeless.push((*position, *prompt));
            } else {
                ahead += 1;
            }
        }
        hopeless
    }

    /// Returns the time in which so many places become free. Before any was, a place is assumed to
    /// be held for the prompt's own prefill.
    fn time_for(&self, places: usize, prompt: &QueuedPrompt) -> Duration {
        let hold = self.hold.unwrap_or(prompt.prefill);
        let limit = self.limit.unwrap_or(usize::MAX).max(1);
        let limit = u32::try_from(limit).unwrap_or(u32::MAX);
        hold * u32::try_from(places).unwrap_or(u32::MAX) / limit
    }

    fn note_hold(&mut self, held: Duration) {
        self.hold = Some(match self.hold {
            Some(mean) => mean.mul_f64(1.0 - HOLD_WEIGHT) + held.mul_f64(HOLD_WEIGHT),
            None => held,
        });
    }
}
