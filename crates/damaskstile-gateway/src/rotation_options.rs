//! Options of rotation by relative load.

use serde::Deserialize;

/// Ratio of the largest to the smallest capacity of a data centre's instances from which on they
/// count as uneven.
const UNEVEN_RATIO: f64 = 3.0;

/// When an instance leaves the load balancer's rotation by its load relative to the other instances
/// of its data centre, instead of only when it is overloaded.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RotationOptions {
    /// Where the capacities of the instances differ.
    #[default]
    Uneven,
    /// In every data centre.
    Always,
    /// Nowhere.
    Never,
}

impl RotationOptions {
    /// Returns whether relative load decides, given the ratio of the largest to the smallest
    /// capacity.
    ///
    /// ```
    /// use damaskstile_gateway::rotation_options::RotationOptions;
    /// assert!(RotationOptions::Uneven.applies(4.0));
    /// assert!(!RotationOptions::Uneven.applies(1.0));
    /// ```
    #[must_use]
    pub fn applies(self, capacity_ratio: f64) -> bool {
        match self {
            Self::Uneven => capacity_ratio >= UNEVEN_RATIO,
            Self::Always => true,
            Self::Never => false,
        }
    }
}
