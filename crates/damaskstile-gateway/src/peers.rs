//! Gossip between instances: sends what this instance knows to its peers and processes what they
//! send.
//!
//! Digests are sent as datagrams, to all peers of a small fleet and to a random subset of a large
//! one. Data too large for a datagram is pulled over a TCP connection by the instance that lacks
//! it.

mod addresses;
mod bulk_load_report;
mod catalogue_answer;
mod datagram;
mod digest;
mod limit_report;
mod list_answer;
mod load_report;
mod loans;
mod lost_runs_report;
mod member_answer;
mod peer_report;
mod pull;
mod pull_messages;
mod reading;
mod received_digest;
mod rejection_limit_report;
mod reports;
mod speed_report;
mod stream_answer;
mod stream_query;
mod stream_report;
mod streams;
mod suspect_report;
mod suspects;
mod target_report;
mod tokens;
mod transfers;
mod tunnel;
mod tunnel_messages;

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;
use damaskstile_escrow::LedgerChange;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::Receiver;

pub use bulk_load_report::BulkLoadReport;
pub use datagram::{Datagram, DatagramBody};
pub use digest::{AccountTokens, Digest};
pub use limit_report::LimitReport;
pub use load_report::LoadReport;
pub use lost_runs_report::LostRunsReport;
pub use peer_report::PeerReport;
pub use pull::serve as serve_pulls;
pub use reading::Reading;
pub use rejection_limit_report::RejectionLimitReport;
pub use speed_report::SpeedReport;
pub use stream_answer::StreamAnswer;
pub use stream_query::StreamQuery;
pub use stream_report::StreamReport;
pub use suspect_report::{SuspectReport, TargetEndReport};
pub use target_report::TargetReport;
pub use tokens::{TokenRequest, TokenTransfer};
pub(crate) use tunnel::open as open_tunnel;
pub use tunnel_messages::TunnelOutcome;

use crate::gateway::Gateway;
use crate::outgoing::Outgoing;
use crate::readiness::Readiness;

/// Interval between digests.
const DIGEST_INTERVAL: Duration = Duration::from_millis(400);
/// Time for which an instance of a large fleet batches updates before it sends a digest, so that
/// consecutive changes while targets are replaced reach all peers together.
const UPDATE_BATCH_DELAY: Duration = Duration::from_millis(100);
/// Largest datagram, in bytes.
const DATAGRAM_BYTES_MAX: usize = 16 * 1024;
/// Largest ledger change that is sent to peers, in bytes. Peers read larger changes from the store.
const CHANGE_BYTES_MAX: usize = 8 * 1024;
/// Most instances that an instance knows of just after its start: itself and the seeds.
const JUST_STARTED_KNOWN_MAX: u64 = 4;
/// Size of the IP and UDP headers of a datagram, in bytes.
const PACKET_BYTES: usize = 28;
/// Pause after a failed receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(50);

/// `Peers` sends and receives the datagrams between instances.
#[derive(Debug)]
pub struct Peers {
    gateway: Arc<Gateway>,
    socket: UdpSocket,
}

impl Peers {
    /// Binds the UDP socket.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn try_new(gateway: &Arc<Gateway>) -> std::io::Result<Arc<Self>> {
        let socket = UdpSocket::bind(gateway.options.peers_address).await?;
        Ok(Arc::new(Self {
            gateway: Arc::clone(gateway),
            socket,
        }))
    }

    /// Sends digests until the process ends.
    pub async fn send_digests(self: Arc<Self>) {
        // The first digest is sent immediately so that peers learn of the start.
        let mut pause = Duration::ZERO;
        loop {
            let changed = self.gateway.gossip_wanted.notified();
            // The next digest is sent on an update, at the latest after the interval.
            let _ = tokio::time::timeout(pause, changed).await;
            pause = DIGEST_INTERVAL;
            let is_large = self.gateway.state().is_large_fleet();
            if is_large {
                tokio::time::sleep(UPDATE_BATCH_DELAY).await;
            }
            let now = self.gateway.now();
            let speeds = self.gateway.state().target_table.take_speeds_to_report(now);
            let digest = self.make_digest(speeds);
            for address in self.digest_recipients() {
                let body = DatagramBody::Digest(digest.clone());
                self.send(address, body).await;
            }
        }
    }

    /// Requests tokens from peers whenever calls lack them. At a stop, returns the tokens that
    /// peers transferred.
    pub async fn request_tokens(self: Arc<Self>) {
        loop {
            self.gateway.tokens_wanted.notified().await;
            for (address, request) in self.token_requests() {
                self.send(address, DatagramBody::TokenRequest(request))
                    .await;
            }
            for (address, transfer) in self.token_returns() {
                self.log_transfer(EventCode::TokensGiven, &address.to_string(), &transfer);
                self.send(address, DatagramBody::TokenTransfer(transfer))
                    .await;
            }
        }
    }

    /// Sends the messages that other background tasks queue for peers, until the process ends.
    pub async fn send_queued(self: Arc<Self>, mut outbox: Receiver<Outgoing>) {
        while let Some(outgoing) = outbox.recv().await {
            match outgoing {
                Outgoing::Change(change) => self.send_change(&change).await,
                Outgoing::Reading(reading) => self.send_reading(&reading).await,
                Outgoing::Suspect(content) => self.send_suspect(&content).await,
                Outgoing::Report(address, report) => {
                    self.send(address, DatagramBody::Report(report)).await;
                }
                Outgoing::Receipt(address, receipt) => {
                    self.send(address, DatagramBody::Receipt(receipt)).await;
                }
                Outgoing::StreamQuery(address, query) => {
                    self.send(address, DatagramBody::StreamQuery(query)).await;
                }
                Outgoing::Borrow(address, request) => {
                    self.send(address, DatagramBody::Borrow(request)).await;
                }
            }
        }
    }

    /// Sends a ledger change written by this instance to all other ledger writers.
    async fn send_change(&self, change: &LedgerChange) {
        let Ok(bytes) = serde_json::to_vec(change) else {
            return;
        };
        if bytes.len() > CHANGE_BYTES_MAX {
            return;
        }
        let bytes = Bytes::from(bytes);
        for address in self.other_writers() {
            self.send(address, DatagramBody::Change(bytes.clone()))
                .await;
        }
    }

    /// Notifies all peers of a long prompt that a target is reading.
    async fn send_reading(&self, reading: &Reading) {
        for address in self.all_peers() {
            let body = DatagramBody::Reading(reading.clone());
            self.send(address, body).await;
        }
    }

    fn apply_change(&self, bytes: &[u8]) {
        match serde_json::from_slice::<LedgerChange>(bytes) {
            Ok(change) => {
                let now = self.gateway.now();
                // A change that does not apply to the ledger version known here is made up for by
                // the next read or write.
                self.gateway.state().holder.apply_peer_change(now, change);
            }
            Err(error) => {
                let error = error.to_string();
                self.gateway
                    .log(EventCode::PeerFrameInvalid, &[("error", &error)]);
            }
        }
    }

    /// Receives and handles datagrams until the process ends.
    pub async fn receive(self: Arc<Self>) {
        let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((len, from)) => match Datagram::decode(&buffer[..len]) {
                    Ok(datagram) => self.handle(datagram, from).await,
                    Err(error) => {
                        let error = error.to_string();
                        self.gateway
                            .log(EventCode::PeerFrameInvalid, &[("error", &error)]);
                    }
                },
                Err(error) => {
                    let error = error.to_string();
                    self.gateway
                        .log(EventCode::HostFailed, &[("peers", &error)]);
                    tokio::time::sleep(RECEIVE_PAUSE).await;
                }
            }
        }
    }

    async fn send(&self, address: SocketAddr, body: DatagramBody) {
        let identity = &self.gateway.options.identity;
        let duty = body.duty();
        let datagram = Datagram {
            from: identity.instance.clone(),
            incarnation: identity.incarnation,
            body: Some(body),
        };
        let bytes = datagram.encode_to_vec();
        self.gateway.sent_bytes.add(duty, bytes.len());
        let now = self.gateway.now();
        let link_bytes = bytes.len() + PACKET_BYTES;
        self.gateway.state().pressure.note_sent(now, link_bytes);
        // Datagrams may be lost at any time; the next digest repeats the state.
        let _ = self.socket.send_to(&bytes, address).await;
    }

    fn make_digest(
        &self,
        speeds: Vec<(TargetIdentity, damaskstile_targets::SpeedReport)>,
    ) -> Digest {
        let now = self.gateway.now();
        let is_in_rotation = Readiness::of(&self.gateway) == Readiness::Ready;
        let mut state = self.gateway.state();
        let lost_runs = state.run_copies.report(now).into_iter();
        let lost_runs = lost_runs.map(|(service, runs)| LostRunsReport::of(now, service, runs));
        let suspects = state.suspects.reports(now);
        let free = state
            .holder
            .prepaid_accounts()
            .map(|account| AccountTokens {
                account: account.clone(),
                tokens: state.holder.free_tokens(now, account),
            })
            .filter(|free| free.tokens > 0)
            .collect();
        let limits = state.target_table.limits_to_report(now).into_iter();
        let limits = limits.map(|(identity, limit)| LimitReport::of(now, identity, limit));
        let rejection_limits = state.target_table.rejection_limits_to_report(now);
        let rejection_limits = rejection_limits.into_iter();
        let rejection_limits =
            rejection_limits.map(|(service, limit)| RejectionLimitReport::of(now, service, limit));
        let load = Box::new(LoadReport::of(&state.own_load(now, is_in_rotation)));
        let speeds = speeds.into_iter();
        let speeds = speeds.map(|(identity, speed)| SpeedReport::of(now, identity, speed));
        let bulk_loads = state.target_table.bulk_loads_to_report(now).into_iter();
        let bulk_loads = bulk_loads.map(|(service, rate)| BulkLoadReport::of(service, rate));
        let digest = Digest {
            load: Some(load),
            unix_ms: crate::clock::own_unix_ms(),
            catalogue_version: state.catalogue.version(),
            catalogue_bytes: state.stored_catalogue.as_ref().map_or(0, |object| {
                u64::try_from(object.content.len()).unwrap_or(u64::MAX)
            }),
            targets_version: state.targets_version,
            store_age_ms: state.contact.age(now).map_or(u64::MAX, unix_ms),
            free,
            is_stopping: state.is_stopping,
            known_instances: state.known_instances(),
            discovered_instances: state.discovered_instances(),
            is_watcher: state.is_watcher(now),
            capacity_percent: self.gateway.options.capacity_percent,
            data_centre: self.gateway.options.identity.data_centre.clone(),
            writer: state.writer_report(now).map(Box::new),
            suspects: suspects.into_iter().map(SuspectReport::of).collect(),
            limits: limits.collect(),
            rejection_limits: rejection_limits.collect(),
            speeds: speeds.collect(),
            lost_runs: lost_runs.collect(),
            bulk_loads: bulk_loads.collect(),
            partitioned_services: state.reach.partitioned_services().cloned().collect(),
            ledger_version: state.holder.ledger_version(),
            store_history: state.holder.store_history(),
            evacuated_version: state
                .target_table
                .evacuations()
                .version()
                .unwrap_or_default(),
            evacuated: state.target_table.evacuations().names(),
            ..Digest::default()
        };
        digest.with_departures(&state.target_table.draining(now), &state.delisted(now))
    }

    async fn handle(&self, datagram: Datagram, from: SocketAddr) {
        let Some(body) = datagram.body else {
            return;
        };
        match body {
            DatagramBody::Digest(digest) => {
                let is_new =
                    self.handle_digest(&datagram.from, datagram.incarnation, &digest, from);
                self.handle_suspects(&datagram.from, &digest.suspects);
                self.handle_lost_runs(&datagram.from, &digest.lost_runs);
                self.handle_rejection_limits(&datagram.from, &digest.rejection_limits);
                self.apply_bulk_loads(&datagram.from, &digest.bulk_loads);
                self.send_digest_to_newcomer(&digest, is_new, from).await;
                if is_new {
                    self.hand_over_streams(&datagram.from, from).await;
                    // Streams that began before any peer was known are still to be reported.
                    self.gateway.report_streams_soon();
                }
            }
            DatagramBody::TokenRequest(request) => {
                self.answer_token_request(&datagram.from, request, from)
                    .await;
            }
            DatagramBody::Change(bytes) => self.apply_change(&bytes),
            DatagramBody::TokenTransfer(transfer) => {
                self.accept_transfer(&datagram.from, datagram.incarnation, &transfer);
            }
            DatagramBody::Report(report) => self.handle_report(report),
            DatagramBody::Reading(reading) => {
                let now = self.gateway.now();
                let table = &mut self.gateway.state().target_table;
                table.apply_prefill_report(now, &reading.identity(), reading.time());
            }
            DatagramBody::Receipt(receipt) => self.handle_receipt(&datagram.from, &receipt),
            DatagramBody::Borrow(request) => {
                self.handle_loan_request(&datagram.from, datagram.incarnation, request, from)
                    .await;
            }
            DatagramBody::Lend(answer) => self.handle_loan_answer(&datagram.from, &answer),
            DatagramBody::LoanEnds(ends) => {
                self.handle_loan_ends(&datagram.from, datagram.incarnation, ends, from)
                    .await;
            }
            DatagramBody::Suspect(report) => {
                self.handle_suspects(&datagram.from, std::slice::from_ref(&report));
            }
            DatagramBody::StreamReport(report) => self.handle_stream_report(report),
            DatagramBody::StreamQuery(query) => self.answer_stream_query(query, from).await,
            DatagramBody::StreamAnswer(answer) => {
                self.handle_stream_answer(&datagram.from, answer);
            }
            DatagramBody::LoanEndsAck(ack) => self.handle_loan_ends_ack(&ack, from),
        }
    }

    /// Sends a digest to a peer that has just started. Such a peer knows some seeds and no other
    /// instance knows it, so it would discover the others only by chance and take itself for their
    /// writer. It also does not know which contents are quarantined and would send them to targets,
    /// and it waits to learn whether it must list everything itself.
    async fn send_digest_to_newcomer(&self, digest: &Digest, is_new: bool, address: SocketAddr) {
        let known = {
            let state = self.gateway.state();
            let is_large = state.is_large_fleet();
            if is_large { state.known_instances() } else { 0 }
        };
        let knows_few = digest.known_instances <= JUST_STARTED_KNOWN_MAX;
        if is_new && knows_few || digest.known_instances.saturating_mul(2) < known {
            let now = self.gateway.now();
            let speeds = self.gateway.state().target_table.speeds_to_report(now);
            let digest = self.make_digest(speeds);
            self.send(address, DatagramBody::Digest(digest)).await;
        }
    }
}
