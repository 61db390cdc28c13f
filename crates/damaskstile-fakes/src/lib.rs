//! Deterministic simulation of a fleet: many instances in one process, with fake targets, store
//! and network.
//!
//! Used by tests and measurements. Time is virtual and every random choice is derived from a
//! seed, so the same scenario gives the same result on every run.

pub mod call_record;
pub mod check;
pub mod fake_run;
pub mod fake_target;
pub mod network;
pub mod options;
pub mod oracle;
pub mod request_spec;
pub mod simulation;
pub mod store;
pub mod targets;

pub use call_record::CallRecord;
pub use network::Network;
pub use options::SimulationOptions;
pub use request_spec::RequestSpec;
pub use simulation::Simulation;
pub use store::FakeStore;
pub use targets::FakeTargets;
