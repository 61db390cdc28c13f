//! Routes, services and client accounts, as operators define them, and the look-up of those that
//! apply to a call.

pub mod account;
mod bounds;
pub mod call_class;
pub mod catalogue;
pub mod errors;
pub mod in_force;
pub mod kind;
pub mod limits;
pub mod route;
pub mod service;

pub use account::Account;
pub use call_class::CallClass;
pub use catalogue::Catalogue;
pub use errors::{Error, Result};
pub use in_force::CatalogueInForce;
pub use kind::RouteKind;
pub use limits::Limits;
pub use route::{Route, Share};
pub use service::Service;
