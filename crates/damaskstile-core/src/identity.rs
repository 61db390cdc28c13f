//! Identity of an instance across restarts.

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, Incarnation, InstanceId};

/// `Identity` is the name of an instance together with its incarnation and data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Incarnation, chosen at random at the start.
    pub incarnation: Incarnation,
    /// Data centre that the instance runs in.
    pub data_centre: DataCentreId,
}

impl Identity {
    /// Creates an identity.
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

    /// Returns a name for a run, a grant or a transfer that no other incarnation generates. It is
    /// unique as long as `number` is not reused for the same `kind`.
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
