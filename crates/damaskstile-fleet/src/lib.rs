//! State that the instances of a fleet share: membership, settings and a common clock.

pub mod errors;
pub mod fleet_clock;
pub mod membership;
pub mod membership_options;
pub mod settings;
pub mod settings_in_force;

pub use errors::{Error, Result};
pub use fleet_clock::FleetClock;
pub use membership::Membership;
pub use membership_options::MembershipOptions;
pub use settings::Settings;
pub use settings_in_force::SettingsInForce;
