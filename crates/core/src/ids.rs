//! Identifiers shared by all packages.

use std::sync::Arc;

/// Name of an entry instance, unique in the fleet.
pub type InstanceId = Arc<str>;
/// Name of an availability zone.
pub type ZoneId = Arc<str>;
/// Name of a workspace.
pub type WorkspaceId = Arc<str>;
/// Name of a target, unique in the fleet.
pub type TargetId = Arc<str>;
/// Name of a class of work.
pub type ClassId = Arc<str>;
/// Name of a pool of targets.
pub type PoolId = Arc<str>;
/// Name of a model.
pub type ModelId = Arc<str>;
/// Identifier of one request, chosen by the caller or by the entry instance.
pub type RequestId = Arc<str>;
/// Identifier of one attempt at a request, unique in the fleet.
pub type AttemptId = Arc<str>;
/// Identifier of a part of a prompt, which requests may share, or digest of a whole request.
pub type PartId = u64;
/// Version of the operators' configuration; starts at 1 and never decreases.
pub type ConfigVersion = u64;
