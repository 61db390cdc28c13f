//! Configuration file of an instance: its identity, its addresses and its initial peers.

use std::net::SocketAddr;

use anyhow::{Context, bail};
use damaskstile_gateway::logs::LogFormat;
use serde::Deserialize;

/// Configuration of one instance. All other settings come from the platform's store.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name of the instance, unique in the fleet.
    pub instance: String,
    /// Data centre in which the instance runs.
    pub data_centre: String,
    /// Address to listen on for callers.
    pub callers_address: SocketAddr,
    /// Address to listen on for operators and metrics.
    pub operators_address: SocketAddr,
    /// Address to listen on for peers.
    pub peers_address: SocketAddr,
    /// Address at which peers reach this instance, if it differs from `peers_address`.
    #[serde(default)]
    pub advertised_address: Option<SocketAddr>,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// Format of the logs.
    #[serde(default)]
    pub log_format: LogFormat,
    /// Trace file to record all events to, for a later replay.
    #[serde(default)]
    pub trace_file: Option<std::path::PathBuf>,
    /// Peers to contact at the start.
    #[serde(default)]
    pub peer: Vec<PeerConfig>,
}

/// A peer to contact at the start.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerConfig {
    /// Name of the peer.
    pub instance: String,
    /// Data centre in which the peer runs.
    pub data_centre: String,
    /// Address at which the peer listens for peers.
    pub address: SocketAddr,
}

impl Config {
    /// Parses and checks a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the TOML is not valid or a value is out of bounds.
    pub fn try_from_toml(text: &str) -> anyhow::Result<Self> {
        let config: Self = toml::from_str(text).context("invalid configuration")?;
        config.check()?;
        Ok(config)
    }

    fn check(&self) -> anyhow::Result<()> {
        if self.instance.is_empty() {
            bail!("key `instance`: found an empty name, expected a name unique in the fleet");
        }
        let own = [
            ("callers_address", self.callers_address),
            ("operators_address", self.operators_address),
            ("peers_address", self.peers_address),
        ];
        for (index, (key, address)) in own.iter().enumerate() {
            let is_fixed = address.port() != 0;
            let is_taken = own[..index].iter().any(|(_, other)| other == address);
            if is_fixed && is_taken {
                bail!("key `{key}`: found {address}, which another key also has, expected another");
            }
        }
        for peer in &self.peer {
            if peer.instance == self.instance {
                bail!(
                    "key `peer.instance`: found the instance itself (`{}`), expected another",
                    peer.instance
                );
            }
        }
        Ok(())
    }
}
