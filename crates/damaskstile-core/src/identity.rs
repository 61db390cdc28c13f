//! `identity` tells one run of an instance from all others.

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, Incarnation, InstanceId};

/// `Identity` names an instance, its incarnation and its place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Incarnation, chosen at random at the start.
    pub incarnation: Incarnation,
    /// Data centre that the instance stands in.
    pub data_centre: DataCentreId,
}

impl Identity {
    /// Makes an identity.
    #[must_use]
    pub fn new(instance: &str, incarnation: Incarnation, data_centre: &str) -> Self {
        Self {
            instance: instance.to_owned(),
            incarnation,
            data_centre: data_centre.to_owned(),
        }
    }

    /// Returns the name under which this incarnation writes to shared objects.
    ///
    /// ```
    /// use damaskstile_core::identity::Identity;
    /// assert_eq!(Identity::new("a", 16, "north").writer(), "a/0000000000000010");
    /// ```
    #[must_use]
    pub fn writer(&self) -> String {
        writer_name(&self.instance, self.incarnation)
    }

    /// Makes a name that no other incarnation makes: for runs, grants and transfers.
    #[must_use]
    pub fn unique(&self, kind: &str, number: u64) -> String {
        format!("{kind}-{:016x}-{number}", self.incarnation)
    }
}

/// Returns the name under which an incarnation writes to shared objects.
#[must_use]
pub fn writer_name(instance: &str, incarnation: Incarnation) -> String {
    format!("{instance}/{incarnation:016x}")
}
