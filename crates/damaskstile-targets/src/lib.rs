//! `damaskstile-targets` knows the targets and chooses among them.

pub mod queue;
pub mod registry;
pub mod selector;
pub mod target;

pub use queue::{Queue, Queued};
pub use registry::{Registry, RegistryOptions};
pub use selector::{Candidate, Selector, SelectorKind};
