//! `damaskstile-targets` knows the targets and chooses among them.

pub mod candidate;
pub mod queue;
pub mod registry;
pub mod registry_options;
pub mod selector;
pub mod target;

pub use candidate::Candidate;
pub use queue::{Queue, Queued};
pub use registry::Registry;
pub use registry_options::RegistryOptions;
pub use selector::{Selector, SelectorKind};
