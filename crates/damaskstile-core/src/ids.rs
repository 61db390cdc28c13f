//! Identifiers shared between modules.

/// Name of an instance of the fleet, which stays the same when the process restarts.
pub type InstanceId = String;
/// Number that distinguishes runs of an instance from each other, chosen at random when the process
/// starts.
pub type Incarnation = u64;
/// Name of a client account.
pub type AccountId = String;
/// Name of a prepaid budget. Several client accounts may draw on the same budget.
pub type BudgetId = String;
/// Name of a service that callers address.
pub type ServiceId = String;
/// Name of a target, which is a replica of a model engine or of a plain service.
pub type TargetId = String;
/// Number that distinguishes runs of a target from each other: its start time in milliseconds since
/// the Unix epoch, so that the greater number is the newer run.
pub type TargetIncarnation = u64;
/// Version of a target's software: an opaque string without an order.
pub type SoftwareVersion = String;
/// Name of a model that targets run.
pub type ModelId = String;
/// Version of a model's weights.
pub type WeightsVersion = u64;
/// Key of a request, given by the caller (`Idempotency-Key`) and unique within a client account.
pub type RequestKey = String;
/// Handle of an open call, assigned by the host.
pub type RequestHandle = u64;
/// Id of one dispatch of a request to a target.
pub type RunId = String;
/// Id of tokens granted to one holder from a budget.
pub type GrantId = String;
/// Id of a store call, which its answer repeats.
pub type CallId = u64;
/// Version of a stored object; 0 if the object does not exist.
pub type Version = u64;
/// Number of a store's history. A store that is restored from an older copy continues with a new
/// history, which has a greater number.
pub type History = u64;
/// Name of a data centre.
pub type DataCentreId = String;
/// Name of a region, which is a group of data centres.
pub type RegionId = String;
