//! Peer messages: gossip, membership, settings distribution, target state and sealing of grants.

use damaskstile_budgets::holder::Peers;
use damaskstile_core::peer::{Gossip, PullSettings, SettingsUpdate, TargetNote};
use damaskstile_core::prelude::*;
use damaskstile_fleet::settings::{SETTINGS_KEY, StoredSettings};
use damaskstile_fleet::settings_in_force::Applied;

use super::timers::Timer;
use super::{Effects, Instance, StorePurpose};

/// Delay before the settings are read again while there are none.
const SETTINGS_RETRY_DELAY: Duration = Duration::from_secs(1);

impl Instance {
    pub(super) fn on_peer(
        &mut self,
        from: &InstanceId,
        incarnation: Incarnation,
        message: PeerMessage,
        effects: &mut Effects,
    ) {
        if from == &self.options.identity.instance {
            return;
        }
        self.membership
            .note_direct_message(self.now, from, incarnation);
        match message {
            PeerMessage::Record(record) => self.on_record(from, incarnation, record, effects),
            PeerMessage::RecordAck(ack) => {
                self.on_record_ack(from, incarnation, &ack, effects);
            }
            PeerMessage::Forget(forget) => {
                self.keeper
                    .forget(&(from.clone(), incarnation), &forget.runs);
            }
            PeerMessage::Ask(ask) => {
                self.on_token_request(from, &ask, effects);
            }
            PeerMessage::Give(give) => self.on_transfer_received(from, &give, effects),
            PeerMessage::Take(take) => {
                if let Some(holder) = self.holders.get_mut(&take.budget) {
                    holder.on_transfer_confirmed(&take.transfer);
                }
            }
            PeerMessage::Gossip(gossip) => self.on_gossip(from, &gossip, effects),
            PeerMessage::PullSettings(pull) => self.on_pull_settings(from, &pull, effects),
            PeerMessage::SettingsUpdate(update) => {
                self.apply_settings(update.version, &update.text, effects);
            }
        }
    }

    fn on_gossip(&mut self, from: &InstanceId, gossip: &Gossip, effects: &mut Effects) {
        let merged = self.membership.merge_gossip(self.now, gossip);
        for state in &gossip.members {
            let peer = (state.instance.clone(), state.incarnation);
            self.keeper.forget_below(&peer, state.settled_runs_below);
        }
        for peer in &merged.replaced {
            // A name belongs to one address, so a later incarnation under it proves that the
            // earlier process has ended.
            self.seal(peer, effects);
        }
        for instance in &merged.joined {
            Self::log(effects, EventCode::MemberJoined, &[("instance", instance)]);
        }
        if !merged.joined.is_empty() {
            self.members_changed(effects);
        }
        for note in &gossip.targets {
            let changed = self.registry.on_note(self.now, note);
            Self::log_target_change(&note.target, changed, effects);
        }
        self.pull_newer_settings(from, effects);
    }

    pub(super) fn gossip_if_due(&mut self, effects: &mut Effects) {
        if self.now < self.membership.next_round_at() {
            return;
        }
        let lowest = self.unsettled.first().copied();
        let next_number = self.next_number;
        let version = self.settings.version();
        let own = self.membership.own_mut();
        own.settled_runs_below = lowest.unwrap_or(next_number + 1);
        own.settings_version = version;
        let silent = self.membership.take_newly_silent(self.now);
        for instance in &silent {
            Self::log(effects, EventCode::MemberSilent, &[("instance", instance)]);
        }
        if !silent.is_empty() {
            self.members_changed(effects);
        }
        self.seal_silent(effects);
        if let Some((peers, members)) = self.membership.next_round(self.now) {
            self.send_heartbeats(&peers, effects);
            self.send_gossip(&peers, members, effects);
        }
        self.probe_targets(effects);
    }

    /// Sends a heartbeat to this instance's witnesses and to the peers that it is a witness of,
    /// unless this round's gossip goes to them anyway.
    ///
    /// Grants are sealed by the time since a peer last sent something directly; gossip that others
    /// pass on does not count.
    fn send_heartbeats(&self, already_sent: &BTreeSet<InstanceId>, effects: &mut Effects) {
        let mut partners = self.witnesses_in_use();
        partners.extend(
            self.keeper
                .unsealed_holders()
                .map(|(instance, _)| instance.clone()),
        );
        let heartbeat = Gossip {
            members: vec![self.membership.own().clone()],
            targets: Vec::new(),
        };
        for to in partners.difference(already_sent) {
            effects.push(Effect::Send {
                to: to.clone(),
                message: PeerMessage::Gossip(heartbeat.clone()),
            });
        }
    }

    /// Sends gossip to some peers at once, for updates that should not wait for the next round.
    fn gossip_now(&mut self, effects: &mut Effects) {
        let version = self.settings.version();
        let own = self.membership.own_mut();
        own.settings_version = version;
        own.heartbeat += 1;
        let (peers, members) = self.membership.round();
        self.send_gossip(&peers, members, effects);
    }

    fn send_gossip(
        &mut self,
        peers: &BTreeSet<InstanceId>,
        members: Vec<damaskstile_core::peer::MemberState>,
        effects: &mut Effects,
    ) {
        let gossip = Gossip {
            members,
            targets: self.registry.notes(self.now),
        };
        for peer in peers {
            effects.push(Effect::Send {
                to: peer.clone(),
                message: PeerMessage::Gossip(gossip.clone()),
            });
        }
    }

    /// Applies a change of the live members to budgets, records and the settings watch.
    pub(super) fn members_changed(&mut self, effects: &mut Effects) {
        let peers = self.peers_for_budgets();
        let mut wakes = Vec::new();
        for (budget, holder) in &mut self.holders {
            holder.set_peers(self.now, &peers);
            wakes.push((budget.clone(), holder.next_wake()));
        }
        for (budget, wake) in wakes {
            self.set_timer_at(wake, Timer::Holder(budget));
        }
        self.send_records_to_new_witnesses(effects);
        let is_watching = self.membership.is_watcher() && self.stop_at.is_none();
        if is_watching != self.is_watching {
            self.is_watching = is_watching;
            effects.push(Effect::WatchSettings { is_watching });
        }
    }

    pub(super) fn peers_for_budgets(&self) -> Peers {
        let token_sources = self
            .membership
            .live()
            .filter(|state| !state.is_stopping)
            .map(|state| state.instance.clone())
            .collect();
        let has_silent = self
            .membership
            .all()
            .any(|(state, is_silent)| is_silent && !state.is_stopping);
        Peers {
            token_sources,
            witnesses: self.membership.witnesses(),
            has_silent,
        }
    }

    /// Seals the grants of peers that have not sent anything directly for `seal_after_ms`.
    fn seal_silent(&mut self, effects: &mut Effects) {
        let seal_after = Duration::from_millis(self.settings.settings().system.seal_after_ms);
        let silent: Vec<_> = self
            .keeper
            .unsealed_holders()
            .filter(|(instance, incarnation)| {
                self.membership
                    .direct_silence(self.now, instance, *incarnation)
                    .is_some_and(|silence| silence > seal_after)
            })
            .cloned()
            .collect();
        for peer in silent {
            self.seal(&peer, effects);
        }
    }

    fn seal(&mut self, peer: &(InstanceId, Incarnation), effects: &mut Effects) {
        for (budget, kept) in self.keeper.seal(peer) {
            self.with_holder(&budget, effects, |holder, now, fx| {
                holder.seal(now, &peer.0, peer.1, kept);
                holder.tick(now, fx);
            });
        }
    }

    pub(super) fn read_settings(&mut self, effects: &mut Effects) {
        let key = SETTINGS_KEY.to_owned();
        self.call_store(StorePurpose::Settings, StoreCall::Read { key }, effects);
    }

    pub(super) fn read_settings_if_none(&mut self, effects: &mut Effects) {
        if self.settings.is_empty() {
            self.read_settings(effects);
            self.request_settings_from_peers(effects);
        }
    }

    /// Requests the settings from peers, which can answer while the store is down.
    pub(super) fn request_settings_from_peers(&mut self, effects: &mut Effects) {
        let (peers, _) = self.membership.round();
        for to in peers {
            let message = PeerMessage::PullSettings(PullSettings { have_version: 0 });
            effects.push(Effect::Send { to, message });
        }
    }

    pub(super) fn on_settings_read(&mut self, answer: StoreAnswer, effects: &mut Effects) {
        match answer {
            StoreAnswer::Found(Some(object)) => {
                self.on_changed(SETTINGS_KEY, &object, effects);
            }
            _ => self.set_timer(SETTINGS_RETRY_DELAY, Timer::Settings),
        }
    }

    pub(super) fn on_changed(&mut self, key: &str, object: &Object, effects: &mut Effects) {
        if key != SETTINGS_KEY {
            return;
        }
        match serde_json::from_str::<StoredSettings>(&object.value) {
            Ok(stored) => self.apply_settings(object.version, &stored.text, effects),
            Err(error) => {
                let version = object.version.to_string();
                let error = error.to_string();
                Self::log(
                    effects,
                    EventCode::SettingsRefused,
                    &[("version", &version), ("error", &error)],
                );
            }
        }
    }

    fn apply_settings(&mut self, version: Version, text: &str, effects: &mut Effects) {
        let number = version.to_string();
        match self.settings.apply(version, text) {
            Applied::Old => {}
            Applied::Refused(error) => Self::log(
                effects,
                EventCode::SettingsRefused,
                &[("version", &number), ("error", &error)],
            ),
            Applied::InForce => {
                Self::log(effects, EventCode::SettingsApplied, &[("version", &number)]);
                self.on_settings_changed(effects);
                self.gossip_now(effects);
            }
        }
    }

    fn on_settings_changed(&mut self, effects: &mut Effects) {
        let settings = self.settings.settings();
        let system = &settings.system;
        self.retries.set_percent(system.retry_percent);
        self.registry
            .set_evidence_age(Duration::from_millis(system.target_evidence_ms));
        let budgets: Vec<(AccountId, BudgetId)> = settings
            .account
            .iter()
            .map(|(name, account)| (name.clone(), account.budget.clone()))
            .collect();
        for (account, budget) in budgets {
            let options = self.budget_options(&account, "");
            let is_spreading = options.policy.policy().is_spreading();
            if let Some(holder) = self.holders.get_mut(&budget) {
                holder.set_options(options);
            }
            if is_spreading {
                self.with_holder(&budget, effects, |holder, now, fx| {
                    holder.request_share(now, fx);
                });
            }
        }
        self.probe_targets(effects);
    }

    fn pull_newer_settings(&mut self, from: &InstanceId, effects: &mut Effects) {
        let have_version = self.settings.version();
        if self.membership.settings_version(from) > have_version {
            effects.push(Effect::Send {
                to: from.clone(),
                message: PeerMessage::PullSettings(PullSettings { have_version }),
            });
        }
    }

    fn on_pull_settings(&self, from: &InstanceId, pull: &PullSettings, effects: &mut Effects) {
        if self.settings.version() > pull.have_version {
            effects.push(Effect::Send {
                to: from.clone(),
                message: PeerMessage::SettingsUpdate(SettingsUpdate {
                    version: self.settings.version(),
                    text: self.settings.text().to_owned(),
                }),
            });
        }
    }

    pub(super) fn on_targets(&mut self, targets: Vec<TargetInfo>, effects: &mut Effects) {
        for (target, is_leaving) in self.registry.set_targets(targets) {
            Self::log_target_change(&target, Some(is_leaving), effects);
        }
        self.probe_targets(effects);
    }

    pub(super) fn on_target_status(
        &mut self,
        target: &TargetId,
        status: Option<&TargetStatus>,
        effects: &mut Effects,
    ) {
        let changed = self.registry.on_status(self.now, target, status);
        Self::log_target_change(target, changed, effects);
        if changed.is_some() {
            // Sent at once, for peers that cannot reach the target themselves.
            let notes: Vec<TargetNote> = self.registry.notes(self.now);
            let (peers, _) = self.membership.round();
            for to in peers {
                let gossip = Gossip {
                    members: Vec::new(),
                    targets: notes.clone(),
                };
                effects.push(Effect::Send {
                    to,
                    message: PeerMessage::Gossip(gossip),
                });
            }
        }
        self.schedule_queue_check();
    }

    fn log_target_change(target: &str, changed: Option<bool>, effects: &mut Effects) {
        match changed {
            Some(true) => Self::log(effects, EventCode::TargetLeaving, &[("target", target)]),
            Some(false) => Self::log(effects, EventCode::TargetReturned, &[("target", target)]),
            None => {}
        }
    }

    pub(super) fn probe_targets(&mut self, effects: &mut Effects) {
        let services: BTreeSet<ServiceId> =
            self.settings.settings().service.keys().cloned().collect();
        for (target, address) in self.registry.next_probes(self.now, &services) {
            effects.push(Effect::Probe { target, address });
        }
    }
}
