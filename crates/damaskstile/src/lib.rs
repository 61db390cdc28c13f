//! Decision logic of a fleet of routers that enforce prepaid token budgets.
//!
//! [`Instance`] makes all decisions of one router instance as a deterministic state machine. It
//! does no I/O: a host passes events in and executes the effects that come out. The daemon is one
//! host; the simulation in the tests and the trace replay are others.
//!
//! ```
//! use std::time::Duration;
//! use damaskstile::{Instance, InstanceOptions};
//! use damaskstile::core::prelude::*;
//!
//! let identity = Identity::new("one", 1, "north");
//! let mut instance = Instance::new(InstanceOptions::new(identity), Duration::from_secs(1));
//! let mut effects = Vec::new();
//! instance.handle(Duration::from_secs(1), Event::Tick, &mut effects);
//! assert!(effects.iter().any(|effect| matches!(effect, Effect::Store { .. })));
//! ```

pub mod instance;
pub mod keys;
pub mod options;
pub mod trace;

pub use damaskstile_budgets as budgets;
pub use damaskstile_core as core;
pub use damaskstile_fleet as fleet;
pub use damaskstile_requests as requests;
pub use damaskstile_targets as targets;

pub use instance::Instance;
pub use options::InstanceOptions;
