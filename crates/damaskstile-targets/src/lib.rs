//! `damaskstile-targets` knows the targets and chooses among them.

pub mod book;
pub mod book_options;
pub mod candidate;
pub mod choice;
pub mod cold_limit;
pub mod departures;
pub mod emptied;
pub mod fleet_view;
pub mod known;
pub mod listed;
pub mod queue;
pub mod reading_speed;
pub mod refused;
pub mod registry;
pub mod registry_options;
pub mod selector;
pub mod target;
pub mod target_counts;
pub mod work;

pub use book::Book;
pub use book_options::BookOptions;
pub use candidate::Candidate;
pub use choice::Choice;
pub use cold_limit::ColdLimit;
pub use emptied::{Emptied, EmptiedNews};
pub use fleet_view::FleetView;
pub use listed::Listed;
pub use queue::{Queue, Queued};
pub use reading_speed::ReadingSpeed;
pub use refused::Refused;
pub use registry::Registry;
pub use registry_options::RegistryOptions;
pub use selector::{Selector, SelectorKind};
pub use target_counts::TargetCounts;
pub use work::{Part, Work};
