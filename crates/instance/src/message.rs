//! Messages between entry instances.

/// Version of the messages; another one ends the connection.
pub const VERSION: u32 = 1;
/// Longest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

/// Envelope of every message.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// Version of the messages.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Name of the sender; empty after the first message of a link.
    #[prost(string, tag = "2")]
    pub from: String,
    /// Address on which the sender takes links, `IP:port`; empty as `from`.
    #[prost(string, tag = "3")]
    pub addr: String,
    /// Availability zone of the sender; empty as `from`.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Start number of the sender's process; 0 as `from`.
    #[prost(uint64, tag = "5")]
    pub boot: u64,
    /// The message; absent when this version does not know its kind.
    #[prost(oneof = "Body", tags = "10, 11, 12, 13, 20, 21, 30, 31, 32, 33, 40, 41")]
    pub body: Option<Body>,
}

impl Envelope {
    /// Returns an envelope without a message.
    pub fn empty() -> Self {
        Self { version: VERSION, ..Self::default() }
    }

    /// Returns the envelope of a message that follows the first one of a link.
    pub fn with_body(body: Body) -> Self {
        Self { body: Some(body), ..Self::empty() }
    }
}

/// The kinds of messages.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// A sign of life.
    #[prost(message, tag = "10")]
    Heartbeat(Heartbeat),
    /// Load of targets, from the instance that polls them.
    #[prost(message, tag = "11")]
    LoadReports(LoadReports),
    /// Request for the text of a newer configuration.
    #[prost(message, tag = "12")]
    ConfigRequest(ConfigRequest),
    /// Text of a configuration.
    #[prost(message, tag = "13")]
    Config(Config),
    /// Request to the zone's leader for a group of engines.
    #[prost(message, tag = "20")]
    GroupRequest(GroupRequest),
    /// The leader's answer.
    #[prost(message, tag = "21")]
    GroupResponse(GroupResponse),
    /// Addresses of instances that a new one should ask.
    #[prost(message, tag = "30")]
    Contacts(Contacts),
    /// State of the sender's zone, for other zones.
    #[prost(message, tag = "31")]
    ZoneSummary(ZoneSummary),
    /// Request for the platform's list of members.
    #[prost(message, tag = "32")]
    MemberListRequest(MemberListRequest),
    /// The platform's list of members.
    #[prost(message, tag = "33")]
    MemberList(MemberList),
    /// Request of a gateway for what a peer knows from the store.
    #[prost(message, tag = "40")]
    SnapshotRequest(SnapshotRequest),
    /// What a gateway knows from the store.
    #[prost(message, tag = "41")]
    Snapshot(StoreSnapshot),
}

/// Request of a gateway for what a peer knows from the store.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SnapshotRequest {
    /// Configuration version in force at the asking instance.
    #[prost(uint64, tag = "1")]
    pub config_version: u64,
    /// Revision of the store up to which it knows the targets.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// What a gateway knows from the store.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StoreSnapshot {
    /// Text of the configuration as the operator wrote it; empty when the asking
    /// instance has it.
    #[prost(bytes = "bytes", tag = "1")]
    pub config_text: bytes::Bytes,
    /// Revision of the store up to which the targets are known; 0 when they are
    /// left out.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// All targets.
    #[prost(message, repeated, tag = "3")]
    pub targets: Vec<StoreTarget>,
}

/// What a target said of itself in the store.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StoreTarget {
    /// Identifier.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Address, `IP:port`.
    #[prost(string, tag = "3")]
    pub addr: String,
    /// Availability zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Requests that it runs at once.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// Whether it takes no new work.
    #[prost(bool, tag = "6")]
    pub draining: bool,
    /// Start, in Unix milliseconds.
    #[prost(uint64, tag = "7")]
    pub started_ms: u64,
    /// Number of the report since the start.
    #[prost(uint64, tag = "8")]
    pub seq: u64,
}

/// A sign of life and the sender's configuration version.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Whether the sender is leaving.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// Configuration version in force.
    #[prost(uint64, tag = "4")]
    pub config_version: u64,
    /// Digest of that configuration.
    #[prost(fixed64, tag = "5")]
    pub config_digest: u64,
    /// Whether the sender could not reach the platform at its last try.
    #[prost(bool, tag = "6")]
    pub platform_unreachable: bool,
}

/// Load of several targets.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadReports {
    /// One record for each target.
    #[prost(message, repeated, tag = "1")]
    pub reports: Vec<LoadReport>,
}

/// Load of one target.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadReport {
    /// Name of the target; empty in a short record, which has no `boot` either.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Start number of the target's process.
    #[prost(uint64, tag = "2")]
    pub boot: u64,
    /// Number of the report.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    /// Prompt tokens not yet computed.
    #[prost(uint64, tag = "4")]
    pub prefill: u64,
    /// Requests that generate now.
    #[prost(uint32, tag = "5")]
    pub running: u32,
    /// Requests that may generate at once.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// Free KV cache, in tokens.
    #[prost(uint64, tag = "7")]
    pub free: u64,
    /// Whole KV cache, in tokens.
    #[prost(uint64, tag = "8")]
    pub capacity: u64,
    /// Prefill speed, in tokens a second.
    #[prost(uint64, tag = "9")]
    pub speed: u64,
    /// Whether the target takes no new work.
    #[prost(bool, tag = "10")]
    pub leaving: bool,
    /// Models that are loaded.
    #[prost(string, repeated, tag = "11")]
    pub models: Vec<String>,
    /// Hash of the target's name and start number.
    #[prost(fixed64, tag = "13")]
    pub id: u64,
    /// Prompt tokens not yet computed by band of prompt length, shortest first.
    #[prost(uint64, repeated, tag = "12")]
    pub bands: Vec<u64>,
}

/// Request for a configuration above `above`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigRequest {
    /// Version in force at the asking instance.
    #[prost(uint64, tag = "1")]
    pub newer_than: u64,
}

/// Text of a configuration.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Config {
    /// Version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Digest of the text.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// The text, as YAML, in compressed form.
    #[prost(bytes = "bytes", tag = "4")]
    pub compressed: bytes::Bytes,
}

/// Addresses of instances, for one that the platform's list does not name.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Contacts {
    /// Addresses on which they take links, `IP:port`.
    #[prost(string, repeated, tag = "1")]
    pub addrs: Vec<String>,
}

/// State of the pools of one zone.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ZoneSummary {
    /// Availability zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// One entry for each pool.
    #[prost(message, repeated, tag = "2")]
    pub pools: Vec<Pool>,
    /// Wait of a short prompt, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub wait_ms: u64,
    /// Prompt tokens that the receiver may send until the next summary.
    #[prost(uint64, tag = "4")]
    pub token_allowance: u64,
    /// Engines with most room, a few for each band of length.
    #[prost(message, repeated, tag = "5")]
    pub offers: Vec<EngineOffer>,
}

/// Free capacity of one engine that its zone offers to other zones.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EngineOffer {
    /// Hash of the engine's name.
    #[prost(fixed64, tag = "6")]
    pub id: u64,
    /// Band of prompt length that it serves, 0 for the shortest.
    #[prost(uint32, tag = "2")]
    pub band: u32,
    /// Prompt tokens not yet computed.
    #[prost(uint64, tag = "3")]
    pub prefill: u64,
    /// Free KV cache, in tokens.
    #[prost(uint64, tag = "4")]
    pub free: u64,
    /// Prefill speed, in tokens a second.
    #[prost(uint64, tag = "5")]
    pub speed: u64,
}

/// State of one pool in one zone.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Pool {
    /// Name of the pool.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Targets that take new work.
    #[prost(uint32, tag = "2")]
    pub accepting: u32,
    /// Free KV cache of these targets, in tokens.
    #[prost(uint64, tag = "3")]
    pub free: u64,
    /// Free KV cache of the target that has most, in tokens.
    #[prost(uint64, tag = "4")]
    pub max_free: u64,
    /// Prompt tokens that wait to be computed.
    #[prost(uint64, tag = "5")]
    pub prefill: u64,
    /// Prefill speed of these targets together, in tokens a second.
    #[prost(uint64, tag = "6")]
    pub speed: u64,
}

/// Request for a group of engines that together hold one prompt.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GroupRequest {
    /// Identifier of the reservations to make.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Instance that renews them, as engines know it.
    #[prost(string, tag = "2")]
    pub holder: String,
    /// Class of work.
    #[prost(string, tag = "3")]
    pub class: String,
    /// Model.
    #[prost(string, tag = "4")]
    pub model: String,
    /// Memory needed, in tokens.
    #[prost(uint64, tag = "5")]
    pub needed_tokens: u64,
    /// Time to the expiry of the reservations, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub expiry_ms: u64,
}

/// Answer to a request for a group; without shares nothing is reserved.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GroupResponse {
    /// Identifier of the reservations.
    #[prost(string, tag = "1")]
    pub id: String,
    /// What is reserved, in the order of the engines' names.
    #[prost(message, repeated, tag = "2")]
    pub shares: Vec<GroupShare>,
    /// Memory that is free where nothing is reserved, in tokens.
    #[prost(uint64, tag = "3")]
    pub free_tokens: u64,
}

/// Part of one engine in a group.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GroupShare {
    /// Name of the engine.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Address, `IP:port`.
    #[prost(string, tag = "2")]
    pub addr: String,
    /// Memory reserved, in tokens.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
}

/// Request for the platform's list, by an instance that cannot read it.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct MemberListRequest {
    /// Longest list that is wanted, in bytes.
    #[prost(uint64, tag = "1")]
    pub max_bytes: u64,
}

/// The platform's list as an instance read it last.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberList {
    /// Time since it was read, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub age_ms: u64,
    /// The list, as the platform gives it.
    #[prost(bytes = "bytes", tag = "2")]
    pub json: bytes::Bytes,
}
