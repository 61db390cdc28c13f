//! Explanations of what happened to a request, from memory or from the bills in the store.

use damaskstile_budgets::Ledger;
use damaskstile_core::prelude::*;

use super::{Effects, Instance, StorePurpose};
use crate::keys;

/// Explain call that waits for a read of the ledger.
#[derive(Debug)]
pub(super) struct PendingExplain {
    request: RequestHandle,
    account: AccountId,
    key: RequestKey,
}

impl Instance {
    pub(super) fn on_explain(
        &mut self,
        call: RequestHandle,
        token_sha256: &str,
        key: &RequestKey,
        effects: &mut Effects,
    ) {
        let settings = self.settings.settings();
        let Some((account, of_account)) = settings.account_of_token(token_sha256) else {
            effects.push(Effect::Explained {
                request: call,
                explanation: None,
            });
            return;
        };
        let (account, budget) = (account.clone(), of_account.budget.clone());
        let account_key = (account.clone(), key.clone());
        if let Some(number) = self.by_key.get(&account_key) {
            effects.push(Effect::Explained {
                request: call,
                explanation: self.explain_open(*number),
            });
            return;
        }
        let number = self.next_number();
        let pending = PendingExplain {
            request: call,
            account,
            key: key.clone(),
        };
        self.pending_explains.insert(number, pending);
        let read = StoreCall::Read {
            key: keys::ledger_key(&budget),
        };
        self.call_store(StorePurpose::Explain(number), read, effects);
    }

    fn explain_open(&self, number: u64) -> Option<Explanation> {
        let request = self.requests.get(&number)?;
        let billed_tokens = match &request.outcome {
            Some(Outcome::Answered(receipt)) => receipt.prompt_tokens + receipt.output_tokens,
            _ => 0,
        };
        Some(Explanation {
            key: request.key.clone(),
            outcome: request.outcome.clone(),
            step: request.step.as_str().to_owned(),
            target: request.target.as_ref().map(|(target, _)| target.clone()),
            billed_tokens,
            runs: request.runs,
            instance: self.options.identity.instance.clone(),
            why: request.notes.clone(),
        })
    }

    pub(super) fn on_explain_read(
        &mut self,
        number: u64,
        answer: StoreAnswer,
        effects: &mut Effects,
    ) {
        let Some(pending) = self.pending_explains.remove(&number) else {
            return;
        };
        let ledger = match answer {
            StoreAnswer::Found(Some(object)) => Ledger::try_from_json(&object.value).ok(),
            _ => None,
        };
        let explanation = ledger.and_then(|ledger| {
            let runs: Vec<_> = ledger
                .entries
                .iter()
                .filter(|entry| entry.account == pending.account && entry.key == pending.key)
                .collect();
            let billed = runs.iter().find(|entry| entry.is_billed)?;
            Some(Explanation {
                key: pending.key.clone(),
                outcome: None,
                step: "billed".to_owned(),
                target: Some(billed.target.clone()),
                billed_tokens: billed.cost_tokens(),
                runs: u64::try_from(runs.len()).unwrap_or(u64::MAX),
                instance: billed.biller.clone(),
                why: vec!["read from the bills in the store".to_owned()],
            })
        });
        effects.push(Effect::Explained {
            request: pending.request,
            explanation,
        });
    }
}
