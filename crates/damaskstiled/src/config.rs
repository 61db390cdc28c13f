//! `config` holds an instance's own settings: who it is, where it listens, whom it knows.

use std::net::SocketAddr;

use anyhow::{Context, bail};
use damaskstile_gateway::logs::LogFormat;
use serde::Deserialize;

/// `Config` holds an instance's own settings. All else comes from the platform's store.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name of the instance.
    pub instance: String,
    /// Data centre that it stands in.
    pub data_centre: String,
    /// Address for callers.
    pub callers_address: SocketAddr,
    /// Address for operators and metrics.
    pub operators_address: SocketAddr,
    /// Address for peers.
    pub peers_address: SocketAddr,
    /// Address at which peers reach this instance, where it differs from the one listened on.
    #[serde(default)]
    pub advertised_address: Option<SocketAddr>,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// Form of the logs.
    #[serde(default)]
    pub log_format: LogFormat,
    /// File to record all events to, for a replay.
    #[serde(default)]
    pub trace_file: Option<std::path::PathBuf>,
    /// Peers to begin with.
    #[serde(default)]
    pub peer: Vec<PeerConfig>,
}

/// `PeerConfig` names a peer to begin with.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerConfig {
    /// Name of the peer.
    pub instance: String,
    /// Data centre that it stands in.
    pub data_centre: String,
    /// Its address for peers.
    pub address: SocketAddr,
}

impl Config {
    /// Reads and checks the settings.
    pub fn try_from_toml(text: &str) -> anyhow::Result<Self> {
        let config: Self = toml::from_str(text).context("not valid")?;
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
                bail!("key `{key}`: found {address} twice, expected an address of its own");
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
