//! An instance that may lend.

use std::net::SocketAddr;

use damaskstile_core::ids::DataCentreId;
use damaskstile_core::prelude::*;

/// An instance that may lend.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Address for messages from peers.
    pub address: SocketAddr,
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
}

impl Candidate {
    /// ```
    /// use damaskstile_loans::Candidate;
    /// let candidate = Candidate::new("a", "127.0.0.1:1".parse().unwrap(), "north");
    /// assert_eq!(candidate.instance, "a");
    /// ```
    #[must_use]
    pub fn new(instance: &str, address: SocketAddr, data_centre: &str) -> Self {
        Self {
            instance: instance.to_owned(),
            address,
            data_centre: data_centre.to_owned(),
        }
    }
}
