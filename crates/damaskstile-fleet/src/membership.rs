//! `membership` knows which instances live, from their own word, spread by gossip.

use damaskstile_core::peer::{Gossip, MemberState};
use damaskstile_core::prelude::*;
use damaskstile_core::random::stable_hash;

use crate::membership_options::MembershipOptions;

/// `Heard` tells what is new after a gossip.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Heard {
    /// Members that were not known, or came back as a new incarnation.
    pub joined: Vec<InstanceId>,
    /// Earlier incarnations that a new one has replaced.
    pub replaced: Vec<(InstanceId, Incarnation)>,
}

#[derive(Debug, Clone)]
struct Member {
    state: MemberState,
    heard_at: Duration,
    /// When the member itself last sent something; sealing its grants goes by this alone.
    direct_at: Duration,
    is_silent: bool,
}

/// `Membership` knows the members of the fleet.
#[derive(Debug)]
pub struct Membership {
    own: MemberState,
    options: MembershipOptions,
    members: BTreeMap<InstanceId, Member>,
    random: Random,
    next_round_at: Duration,
}

impl Membership {
    /// Makes the membership of an instance that has heard of nobody.
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

    /// Returns the own state, to change it.
    pub fn own_mut(&mut self) -> &mut MemberState {
        &mut self.own
    }

    /// Returns the own state.
    #[must_use]
    pub fn own(&self) -> &MemberState {
        &self.own
    }

    /// Takes in a message that came from a peer itself.
    pub fn hear_directly(&mut self, now: Duration, from: &str, incarnation: Incarnation) {
        if let Some(member) = self.members.get_mut(from)
            && member.state.incarnation == incarnation
        {
            member.heard_at = now;
            member.direct_at = now;
            member.is_silent = false;
        }
    }

    /// Takes in a gossip.
    pub fn hear(&mut self, now: Duration, gossip: &Gossip) -> Heard {
        let mut heard = Heard::default();
        for state in &gossip.members {
            if state.instance != self.own.instance && !state.instance.is_empty() {
                self.hear_state(now, state, &mut heard);
            }
        }
        heard
    }

    fn hear_state(&mut self, now: Duration, state: &MemberState, heard: &mut Heard) {
        let Some(member) = self.members.get_mut(&state.instance) else {
            heard.joined.push(state.instance.clone());
            self.members.insert(
                state.instance.clone(),
                Member {
                    state: state.clone(),
                    heard_at: now,
                    direct_at: now,
                    is_silent: false,
                },
            );
            return;
        };
        let known = &member.state;
        let is_other_life = state.incarnation != known.incarnation;
        if is_other_life && state.started_unix_ms > known.started_unix_ms {
            heard
                .replaced
                .push((state.instance.clone(), known.incarnation));
            heard.joined.push(state.instance.clone());
            member.state = state.clone();
            member.heard_at = now;
            member.direct_at = now;
            member.is_silent = false;
            return;
        }
        let is_news = !is_other_life && state.heartbeat > known.heartbeat;
        if is_news {
            member.state = state.clone();
            member.heard_at = now;
            member.is_silent = false;
        }
    }

    /// Shifts all silences after the own process was paused, which tells nothing of the others.
    pub fn forgive(&mut self, pause: Duration) {
        for member in self.members.values_mut() {
            member.heard_at += pause;
            member.direct_at += pause;
        }
    }

    /// Returns the members that have just fallen silent.
    pub fn next_silent(&mut self, now: Duration) -> Vec<InstanceId> {
        // A message tells of a fixed number of members, so news of each takes longer the more
        // there are. A member that has not been heard of for that long is not gone yet.
        let rounds = self.members.len() / self.options.members_per_message.max(1);
        let rounds = u32::try_from(rounds).unwrap_or(u32::MAX);
        let silent_after = self.options.silent_after + self.options.interval * rounds;
        self.members
            .iter_mut()
            .filter(|(_, member)| !member.is_silent)
            .filter(|(_, member)| now.saturating_sub(member.heard_at) > silent_after)
            .map(|(instance, member)| {
                member.is_silent = true;
                instance.clone()
            })
            .collect()
    }

    /// Returns how long a life has not sent anything itself; `None` where it is not known.
    #[must_use]
    pub fn direct_silence(
        &self,
        now: Duration,
        instance: &str,
        incarnation: Incarnation,
    ) -> Option<Duration> {
        let member = self.members.get(instance)?;
        (member.state.incarnation == incarnation).then(|| now.saturating_sub(member.direct_at))
    }

    /// Returns the members that are not silent.
    pub fn live(&self) -> impl Iterator<Item = &MemberState> {
        self.members
            .values()
            .filter(|member| !member.is_silent)
            .map(|member| &member.state)
    }

    /// Returns all members that were ever heard of, with whether they are silent.
    pub fn all(&self) -> impl Iterator<Item = (&MemberState, bool)> {
        self.members
            .values()
            .map(|member| (&member.state, member.is_silent))
    }

    /// Returns the settings version that a member is known to have.
    #[must_use]
    pub fn settings_version(&self, instance: &str) -> Version {
        self.members
            .get(instance)
            .map_or(0, |member| member.state.settings_version)
    }

    /// Chooses the witnesses of new grants: some near, some in other data centres.
    ///
    /// Near ones still answer when data centres are cut from one another. Far ones still know
    /// when the whole data centre is lost. One answer is enough to spend, so more of them make it
    /// likelier that a side of a cut has one; all must agree before a grant is closed.
    #[must_use]
    pub fn witnesses(&self) -> BTreeMap<InstanceId, Incarnation> {
        let mut fit: Vec<&MemberState> = self
            .live()
            .filter(|state| !state.is_stopping)
            // A member that is only known from the own settings has no incarnation yet. A grant
            // that names it could never be closed, since the member would not know itself in it.
            .filter(|state| state.incarnation != 0)
            .collect();
        fit.sort_by_key(|state| stable_hash(&[&self.own.instance, &state.instance]));
        let (near, far): (Vec<_>, Vec<_>) = fit
            .into_iter()
            .partition(|state| state.data_centre == self.own.data_centre);
        let each = self.options.witnesses_each;
        near.into_iter()
            .take(each)
            .chain(far.into_iter().take(each))
            .map(|state| (state.instance.clone(), state.incarnation))
            .collect()
    }

    /// Tells whether this instance is one of those that watch the settings.
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

    /// Returns the time of the next round.
    #[must_use]
    pub fn next_round_at(&self) -> Duration {
        self.next_round_at
    }

    /// Starts a round if one is due: whom to tell, and what of members.
    ///
    /// The cost is the same whatever the size of the fleet: a fixed number of peers, and a fixed
    /// number of members in each message.
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

    /// Makes up a round at once, for news that should not wait.
    pub fn round(&mut self) -> (BTreeSet<InstanceId>, Vec<MemberState>) {
        let mut peers = BTreeSet::new();
        let live: Vec<InstanceId> = self.live().map(|state| state.instance.clone()).collect();
        for _ in 0..self.options.fanout {
            if let Some(peer) = self.pick(&live) {
                peers.insert(peer);
            }
        }
        // Now and then a silent member is told too, so that two sides of a cut find each other.
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
