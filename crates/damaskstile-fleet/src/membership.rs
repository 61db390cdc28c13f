//! Membership of the fleet: which instances are up, as they state themselves by gossip.

use damaskstile_core::peer::{Gossip, MemberState};
use damaskstile_core::prelude::*;
use damaskstile_core::random::stable_hash;

use crate::membership_options::MembershipOptions;

/// `MembershipChanges` lists the changes of the membership caused by a gossip message.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MembershipChanges {
    /// Members that were not known before, or have started a new incarnation.
    pub joined: Vec<InstanceId>,
    /// Earlier incarnations that were replaced by a new one.
    pub replaced: Vec<(InstanceId, Incarnation)>,
}

#[derive(Debug, Clone)]
struct Member {
    state: MemberState,
    updated_at: Duration,
    /// When the last message came from the member itself. Only this decides on sealing its grants.
    direct_message_at: Duration,
    is_silent: bool,
}

/// `Membership` holds the states of the fleet's members and schedules the gossip rounds.
#[derive(Debug)]
pub struct Membership {
    own: MemberState,
    options: MembershipOptions,
    members: BTreeMap<InstanceId, Member>,
    random: Random,
    next_round_at: Duration,
}

impl Membership {
    /// Creates the membership of an instance that does not know any peers yet.
    #[must_use]
    pub fn new(own: MemberState, options: MembershipOptions, seed: u64, now: Duration) -> Self {
        Self {
            own,
            options,
            members: BTreeMap::new(),
            random: Random::new(seed),
            next_round_at: now,
        }
    }

    /// Returns the state of this instance for modification.
    pub fn own_mut(&mut self) -> &mut MemberState {
        &mut self.own
    }

    /// Returns the state of this instance.
    #[must_use]
    pub fn own(&self) -> &MemberState {
        &self.own
    }

    /// Records that a message arrived from the peer itself. Ignored for peers and incarnations that
    /// are not known.
    pub fn note_direct_message(&mut self, now: Duration, from: &str, incarnation: Incarnation) {
        if let Some(member) = self.members.get_mut(from)
            && member.state.incarnation == incarnation
        {
            member.updated_at = now;
            member.direct_message_at = now;
            member.is_silent = false;
        }
    }

    /// Merges a gossip message. Returns the members that are new.
    pub fn merge_gossip(&mut self, now: Duration, gossip: &Gossip) -> MembershipChanges {
        let mut changes = MembershipChanges::default();
        for state in &gossip.members {
            if state.instance != self.own.instance && !state.instance.is_empty() {
                self.merge_state(now, state, &mut changes);
            }
        }
        changes
    }

    fn merge_state(&mut self, now: Duration, state: &MemberState, changes: &mut MembershipChanges) {
        let Some(member) = self.members.get_mut(&state.instance) else {
            changes.joined.push(state.instance.clone());
            self.members.insert(
                state.instance.clone(),
                Member {
                    state: state.clone(),
                    updated_at: now,
                    direct_message_at: now,
                    is_silent: false,
                },
            );
            return;
        };
        let previous = &member.state;
        let is_other_incarnation = state.incarnation != previous.incarnation;
        if is_other_incarnation && state.started_unix_ms > previous.started_unix_ms {
            changes
                .replaced
                .push((state.instance.clone(), previous.incarnation));
            changes.joined.push(state.instance.clone());
            member.state = state.clone();
            member.updated_at = now;
            member.direct_message_at = now;
            member.is_silent = false;
            return;
        }
        let is_newer = !is_other_incarnation && state.heartbeat > previous.heartbeat;
        if is_newer {
            member.state = state.clone();
            member.updated_at = now;
            member.is_silent = false;
        }
    }

    /// Excludes a pause of the own process from the silence of all members. Messages could not be
    /// received in that time, so it says nothing about them.
    pub fn exclude_pause(&mut self, pause: Duration) {
        for member in self.members.values_mut() {
            member.updated_at += pause;
            member.direct_message_at += pause;
        }
    }

    /// Returns the members that have become silent since the last call.
    pub fn take_newly_silent(&mut self, now: Duration) -> Vec<InstanceId> {
        // A message carries the states of a fixed number of members, so updates of each member
        // arrive less often the more members there are. The limit grows accordingly.
        let rounds = self.members.len() / self.options.members_per_message.max(1);
        let rounds = u32::try_from(rounds).unwrap_or(u32::MAX);
        let silent_after = self.options.silent_after + self.options.interval * rounds;
        self.members
            .iter_mut()
            .filter(|(_, member)| !member.is_silent)
            .filter(|(_, member)| now.saturating_sub(member.updated_at) > silent_after)
            .map(|(instance, member)| {
                member.is_silent = true;
                instance.clone()
            })
            .collect()
    }

    /// Returns the time since the last message from an incarnation itself; `None` if the
    /// incarnation is not the known one.
    #[must_use]
    pub fn direct_silence(
        &self,
        now: Duration,
        instance: &str,
        incarnation: Incarnation,
    ) -> Option<Duration> {
        let member = self.members.get(instance)?;
        (member.state.incarnation == incarnation)
            .then(|| now.saturating_sub(member.direct_message_at))
    }

    /// Returns the members that are not silent.
    pub fn live(&self) -> impl Iterator<Item = &MemberState> {
        self.members
            .values()
            .filter(|member| !member.is_silent)
            .map(|member| &member.state)
    }

    /// Returns all members ever known, each with whether it is silent.
    pub fn all(&self) -> impl Iterator<Item = (&MemberState, bool)> {
        self.members
            .values()
            .map(|member| (&member.state, member.is_silent))
    }

    /// Returns the settings version that a member reported last; 0 if the member is not known.
    #[must_use]
    pub fn settings_version(&self, instance: &str) -> Version {
        self.members
            .get(instance)
            .map_or(0, |member| member.state.settings_version)
    }

    /// Chooses the witnesses of new grants, some in the own data centre and some in others.
    ///
    /// Witnesses in the own data centre still answer when data centres are partitioned from each
    /// other. Those in other data centres keep the records when the own one is lost as a whole. One
    /// answer is enough to spend, so with more witnesses it is likelier that each side of a
    /// partition has one. All witnesses must agree before a grant is closed.
    #[must_use]
    pub fn witnesses(&self) -> BTreeMap<InstanceId, Incarnation> {
        let mut eligible: Vec<&MemberState> = self
            .live()
            .filter(|state| !state.is_stopping)
            // A member that is only known from the settings of this instance has no incarnation
            // yet. A grant with it as a witness could never be closed, because the member would not
            // recognise itself as that witness.
            .filter(|state| state.incarnation != 0)
            .collect();
        eligible.sort_by_key(|state| stable_hash(&[&self.own.instance, &state.instance]));
        let (near, far): (Vec<_>, Vec<_>) = eligible
            .into_iter()
            .partition(|state| state.data_centre == self.own.data_centre);
        let each = self.options.witnesses_each;
        near.into_iter()
            .take(each)
            .chain(far.into_iter().take(each))
            .map(|state| (state.instance.clone(), state.incarnation))
            .collect()
    }

    /// Returns whether this instance is one of those in its data centre that watch the settings in
    /// the store.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        let rank = |state: &MemberState| stable_hash(&["watch", &state.instance]);
        let own_rank = rank(&self.own);
        let before = self
            .live()
            .filter(|state| state.data_centre == self.own.data_centre && !state.is_stopping)
            .filter(|state| rank(state) < own_rank)
            .count();
        before < self.options.watchers_per_data_centre
    }

    /// Returns the time of the next gossip round.
    #[must_use]
    pub fn next_round_at(&self) -> Duration {
        self.next_round_at
    }

    /// Starts a gossip round if one is due. Returns the receiving peers and the member states to
    /// send.
    ///
    /// The cost does not depend on the size of the fleet: the number of peers and the number of
    /// member states per message are fixed.
    pub fn next_round(
        &mut self,
        now: Duration,
    ) -> Option<(BTreeSet<InstanceId>, Vec<MemberState>)> {
        if now < self.next_round_at {
            return None;
        }
        self.next_round_at = now + self.options.interval;
        self.own.heartbeat += 1;
        Some(self.round())
    }

    /// Composes a gossip round at once, for updates that should not wait for the next one.
    pub fn round(&mut self) -> (BTreeSet<InstanceId>, Vec<MemberState>) {
        let mut peers = BTreeSet::new();
        let live: Vec<InstanceId> = self.live().map(|state| state.instance.clone()).collect();
        for _ in 0..self.options.fanout {
            if let Some(peer) = self.pick(&live) {
                peers.insert(peer);
            }
        }
        // One more peer is picked among all members, silent ones included, so that the two sides of
        // a partition find each other again.
        let all: Vec<InstanceId> = self.members.keys().cloned().collect();
        if let Some(peer) = self.pick(&all) {
            peers.insert(peer);
        }
        (peers, self.sample(&live))
    }

    fn sample(&mut self, live: &[InstanceId]) -> Vec<MemberState> {
        let mut members = BTreeMap::new();
        for _ in 0..self.options.members_per_message {
            let picked = self.pick(live);
            let state = picked.and_then(|peer| self.members.get(&peer));
            if let Some(member) = state {
                members.insert(member.state.instance.clone(), member.state.clone());
            }
        }
        std::iter::once(self.own.clone())
            .chain(members.into_values())
            .collect()
    }

    fn pick(&mut self, peers: &[InstanceId]) -> Option<InstanceId> {
        peers.get(self.random.index(peers.len())).cloned()
    }
}
