//! `damaskstile-targets` knows the targets and chooses among them.

pub mod book;
pub mod book_options;
pub mod candidate;
pub mod known;
pub mod listed;
pub mod queue;
pub mod registry;
pub mod registry_options;
pub mod selector;
pub mod target;
pub mod work;

pub use book::{Book, Choice};
pub use book_options::BookOptions;
pub use candidate::Candidate;
pub use listed::Listed;
pub use queue::{Queue, Queued};
pub use registry::Registry;
pub use registry_options::RegistryOptions;
pub use selector::{Selector, SelectorKind};
pub use work::{Part, Work};
