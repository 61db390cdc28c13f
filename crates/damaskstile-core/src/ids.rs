//! `ids` names the identifiers that cross module borders.

/// Names a process of the fleet; stays the same when the process is restarted.
pub type InstanceId = String;
/// Tells one run of an instance from the next; chosen at random when the process starts.
pub type Incarnation = u64;
/// Names a client account.
pub type AccountId = String;
/// Names a prepaid budget. Several client accounts may draw on one.
pub type BudgetId = String;
/// Names a service that callers address.
pub type ServiceId = String;
/// Names a target, a model engine's replica or a plain service's.
pub type TargetId = String;
/// Tells one run of a target from the next: its start, in milliseconds since the Unix epoch, so
/// that the greater one is the newer.
pub type TargetIncarnation = u64;
/// The caller's key of a request (`Idempotency-Key`), unique within a client account.
pub type RequestKey = String;
/// The host's handle of one open call.
pub type RequestHandle = u64;
/// Names one dispatch of a request to a target.
pub type RunId = String;
/// Names tokens granted to one holder out of a budget.
pub type GrantId = String;
/// Tells the answer of one store call from another's.
pub type CallId = u64;
/// Version of a stored object; 0 stands for "does not exist".
pub type Version = u64;
/// Tells the histories of a store from each other: a store that comes back from an older copy goes
/// on with another one, and the number rises.
pub type History = u64;
/// Names a data centre.
pub type DataCentreId = String;
/// Names a region, which holds data centres.
pub type RegionId = String;
