//! Types that all crates of the router fleet share. Contains no implementation of the router.
//!
//! An instance is a state machine without input or output of its own. It turns an
//! [`Event`](event::Event) and a time into [`Effect`](effect::Effect)s, which its host carries out.

pub mod codes;
pub mod effect;
pub mod errors;
pub mod event;
pub mod explanation;
pub mod hex;
pub mod identity;
pub mod ids;
pub mod log;
pub mod object;
pub mod outcome;
pub mod peer;
pub mod random;
pub mod report;
pub mod request;
pub mod store;
pub mod target;
pub mod target_identity;
pub mod time;

pub mod prelude {
    //! Types that nearly every module needs.

    pub use std::collections::{BTreeMap, BTreeSet, VecDeque};
    pub use std::time::Duration;

    pub use crate::codes::RefusalCode;
    pub use crate::effect::{Dispatch, Effect};
    pub use crate::event::Event;
    pub use crate::explanation::Explanation;
    pub use crate::identity::Identity;
    pub use crate::ids::{
        AccountId, BudgetId, CallId, DataCentreId, GrantId, History, Incarnation, InstanceId,
        ModelId, RegionId, RequestHandle, RequestKey, RunId, ServiceId, SoftwareVersion, TargetId,
        TargetIncarnation, Version, WeightsVersion,
    };
    pub use crate::log::{EventCode, LogEvent};
    pub use crate::outcome::{Outcome, Receipt};
    pub use crate::peer::{Draw, PeerMessage};
    pub use crate::random::Random;
    pub use crate::report::{RunReport, RunState};
    pub use crate::request::{NewRequest, Priority};
    pub use crate::store::{Object, StoreAnswer, StoreCall};
    pub use crate::target::{TargetInfo, TargetStatus};
    pub use crate::target_identity::TargetIdentity;
}
