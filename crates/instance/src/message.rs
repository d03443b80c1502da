//! Messages between entry instances.

/// Protocol version; a message of any other version ends the connection.
pub const VERSION: u32 = 1;
/// Maximum length of a frame.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

/// Envelope of every message.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// Protocol version, [`VERSION`].
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Name of the sender; set only in the first message of a link.
    #[prost(string, tag = "2")]
    pub from: String,
    /// Address on which the sender accepts links, `IP:port`; set only with `from`.
    #[prost(string, tag = "3")]
    pub addr: String,
    /// Availability zone of the sender; set only with `from`.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Incarnation number of the sender's process; set only with `from`.
    #[prost(uint64, tag = "5")]
    pub boot: u64,
    /// The message; `None` in a greeting or when its kind is unknown here.
    #[prost(oneof = "Body", tags = "10, 11, 12, 13, 20, 21, 30, 31, 32, 33, 40, 41")]
    pub body: Option<Body>,
}

impl Envelope {
    /// Returns an envelope without a message or sender.
    pub fn empty() -> Self {
        Self { version: VERSION, ..Self::default() }
    }

    /// Returns an envelope for any message after the first one of a link.
    pub fn with_body(body: Body) -> Self {
        Self { body: Some(body), ..Self::empty() }
    }
}

/// Kinds of messages.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Heartbeat.
    #[prost(message, tag = "10")]
    Heartbeat(Heartbeat),
    /// Load of targets, as polled by the sender.
    #[prost(message, tag = "11")]
    LoadReports(LoadReports),
    /// Request for a newer configuration.
    #[prost(message, tag = "12")]
    ConfigRequest(ConfigRequest),
    /// Compressed text of a configuration.
    #[prost(message, tag = "13")]
    Config(Config),
    /// Request to the zone's leader for a group of engines.
    #[prost(message, tag = "20")]
    GroupRequest(GroupRequest),
    /// Response of the leader to a [`GroupRequest`].
    #[prost(message, tag = "21")]
    GroupResponse(GroupResponse),
    /// Addresses of instances that the receiver may contact.
    #[prost(message, tag = "30")]
    Contacts(Contacts),
    /// Summary of the sender's zone for other zones.
    #[prost(message, tag = "31")]
    ZoneSummary(ZoneSummary),
    /// Request for the list of members.
    #[prost(message, tag = "32")]
    MemberListRequest(MemberListRequest),
    /// List of members, as the sender last read it.
    #[prost(message, tag = "33")]
    MemberList(MemberList),
    /// Request for a snapshot of what a gateway knows from the store.
    #[prost(message, tag = "40")]
    SnapshotRequest(SnapshotRequest),
    /// Snapshot of what a gateway knows from the store.
    #[prost(message, tag = "41")]
    Snapshot(StoreSnapshot),
}

impl Body {
    /// Returns whether it may arrive twice: it asks for what its sender does not have, or says
    /// what is not older than what the receiver then has.
    pub fn is_repeatable(&self) -> bool {
        match self {
            Self::ConfigRequest(_)
            | Self::Config(_)
            | Self::MemberListRequest(_)
            | Self::SnapshotRequest(_)
            | Self::Snapshot(_) => true,
            // A group that is requested twice is formed twice; the rest is sent at intervals.
            Self::Heartbeat(_)
            | Self::LoadReports(_)
            | Self::GroupRequest(_)
            | Self::GroupResponse(_)
            | Self::Contacts(_)
            | Self::ZoneSummary(_)
            | Self::MemberList(_) => false,
        }
    }
}

/// Request for a snapshot of what a gateway knows from the store.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SnapshotRequest {
    /// Configuration version in force at the requester.
    #[prost(uint64, tag = "1")]
    pub config_version: u64,
    /// Revision of the store up to which the requester knows the targets.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Whether the requester understands a snapshot with the changed targets only.
    #[prost(bool, tag = "3")]
    pub accepts_changes: bool,
    /// Era of `revision`.
    #[prost(uint64, tag = "4")]
    pub era: u64,
    /// Digest of the targets known to the requester; absent if it is not to be compared.
    #[prost(fixed64, optional, tag = "5")]
    pub digest: Option<u64>,
    /// Whether the requester understands a compressed configuration.
    #[prost(bool, tag = "6")]
    pub accepts_compressed: bool,
}

/// Snapshot of what a gateway knows from the store.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StoreSnapshot {
    /// Text of the configuration as the operator wrote it.
    ///
    /// Empty when the requester has this version, or when it is compressed.
    #[prost(bytes = "bytes", tag = "1")]
    pub config_text: bytes::Bytes,
    /// Revision of the store that `targets` reflects; 0 when they are omitted.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// All targets, or the changed ones; empty when `revision` is 0.
    #[prost(message, repeated, tag = "3")]
    pub targets: Vec<StoreTarget>,
    /// Whether `targets` are those that changed after the revision of the request.
    #[prost(bool, tag = "4")]
    pub changes_only: bool,
    /// Targets that left after that revision.
    #[prost(string, repeated, tag = "5")]
    pub gone: Vec<String>,
    /// Era of `revision`.
    #[prost(uint64, tag = "6")]
    pub era: u64,
    /// All orders of the operator to evacuate zones, or to take them back, that the sender
    /// knows; former versions know none.
    #[prost(message, repeated, tag = "7")]
    pub zone_orders: Vec<ZoneOrder>,
    /// The text of the configuration, compressed, for requesters that understand it.
    #[prost(bytes = "bytes", tag = "8")]
    pub config_compressed: bytes::Bytes,
}

/// The latest order of the operator for a zone.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ZoneOrder {
    /// Availability zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Whether it is evacuated.
    #[prost(bool, tag = "2")]
    pub evacuated: bool,
    /// Revision of the store as of which the sender knows this.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Era of `revision`.
    #[prost(uint64, tag = "4")]
    pub era: u64,
}

/// Entry that a target wrote about itself into the store.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StoreTarget {
    /// Identifier of the target.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Service that it belongs to.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Address, `IP:port`.
    #[prost(string, tag = "3")]
    pub addr: String,
    /// Availability zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Maximum number of concurrent requests.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// Whether it accepts no new requests.
    #[prost(bool, tag = "6")]
    pub draining: bool,
    /// Start of its process, in Unix milliseconds.
    #[prost(uint64, tag = "7")]
    pub started_ms: u64,
    /// Sequence number of the entry since that start.
    #[prost(uint64, tag = "8")]
    pub seq: u64,
    /// Time for which the sender keeps it although its entry is gone, in milliseconds;
    /// absent if its entry is in the store.
    #[prost(uint32, optional, tag = "9")]
    pub kept_ms: Option<u32>,
}

/// Heartbeat with the sender's configuration version.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Whether the sender is shutting down.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// Configuration version in force.
    #[prost(uint64, tag = "4")]
    pub config_version: u64,
    /// Digest of that configuration.
    #[prost(fixed64, tag = "5")]
    pub config_digest: u64,
    /// Whether the sender's last attempt to reach the platform failed.
    #[prost(bool, tag = "6")]
    pub platform_unreachable: bool,
}

/// Load of several targets.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadReports {
    /// One report for each target.
    #[prost(message, repeated, tag = "1")]
    pub reports: Vec<LoadReport>,
}

/// Load of one target, in full or compacted form.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadReport {
    /// Name of the target; empty in a compacted report, which also lacks `boot`.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Incarnation number of the target's process.
    #[prost(uint64, tag = "2")]
    pub boot: u64,
    /// Sequence number of the report.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    /// Prompt tokens not yet computed.
    #[prost(uint64, tag = "4")]
    pub prefill_tokens: u64,
    /// Requests that are generating tokens.
    #[prost(uint32, tag = "5")]
    pub running: u32,
    /// Maximum number of requests that generate tokens concurrently.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// Free KV cache, in tokens.
    #[prost(uint64, tag = "7")]
    pub free_tokens: u64,
    /// Total KV cache, in tokens.
    #[prost(uint64, tag = "8")]
    pub capacity_tokens: u64,
    /// Prefill speed, in tokens a second.
    #[prost(uint64, tag = "9")]
    pub tokens_per_s: u64,
    /// Whether the target accepts no new requests.
    #[prost(bool, tag = "10")]
    pub leaving: bool,
    /// Loaded models.
    #[prost(string, repeated, tag = "11")]
    pub models: Vec<String>,
    /// Hash of `target` and `boot`.
    #[prost(fixed64, tag = "13")]
    pub id: u64,
    /// Prompt tokens not yet computed, per band of prompt length, shortest first.
    #[prost(uint64, repeated, tag = "12")]
    pub bands: Vec<u64>,
}

/// Request for a configuration newer than `newer_than`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigRequest {
    /// Version in force at the requester.
    #[prost(uint64, tag = "1")]
    pub newer_than: u64,
}

/// Compressed text of a configuration.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Config {
    /// Version of the configuration.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Digest of the uncompressed text.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// The YAML text, compressed with zlib.
    #[prost(bytes = "bytes", tag = "4")]
    pub compressed: bytes::Bytes,
}

/// Addresses of instances, for a peer that the list of members may lack.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Contacts {
    /// Addresses on which they accept links, `IP:port`.
    #[prost(string, repeated, tag = "1")]
    pub addrs: Vec<String>,
}

/// Summary of one zone: its pools, waiting time and free capacity.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ZoneSummary {
    /// Availability zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// One entry for each pool.
    #[prost(message, repeated, tag = "2")]
    pub pools: Vec<Pool>,
    /// Waiting time of a short prompt, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub wait_ms: u64,
    /// Prompt tokens that the receiver may send to the zone until the next summary.
    #[prost(uint64, tag = "4")]
    pub token_allowance: u64,
    /// Engines with the most free capacity, a few per band of prompt length.
    #[prost(message, repeated, tag = "5")]
    pub offers: Vec<EngineOffer>,
}

/// Free capacity of one engine that its zone offers to other zones.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EngineOffer {
    /// Hash of the engine's name, as [`target_hash`](crate::compact::target_hash) gives it.
    #[prost(fixed64, tag = "6")]
    pub id: u64,
    /// Band of prompt length that it serves; 0 is the shortest.
    #[prost(uint32, tag = "2")]
    pub band: u32,
    /// Prompt tokens not yet computed.
    #[prost(uint64, tag = "3")]
    pub prefill_tokens: u64,
    /// Free KV cache, in tokens.
    #[prost(uint64, tag = "4")]
    pub free_tokens: u64,
    /// Prefill speed, in tokens a second.
    #[prost(uint64, tag = "5")]
    pub tokens_per_s: u64,
}

/// State of one pool in one zone.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Pool {
    /// Name of the pool.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Number of targets that accept new requests.
    #[prost(uint32, tag = "2")]
    pub accepting: u32,
    /// Combined free KV cache of these targets, in tokens.
    #[prost(uint64, tag = "3")]
    pub free_tokens: u64,
    /// Largest free KV cache of a single target, in tokens.
    #[prost(uint64, tag = "4")]
    pub max_free_tokens: u64,
    /// Prompt tokens not yet computed.
    #[prost(uint64, tag = "5")]
    pub prefill_tokens: u64,
    /// Combined prefill speed of these targets, in tokens a second.
    #[prost(uint64, tag = "6")]
    pub tokens_per_s: u64,
}

/// Request to reserve a group of engines that together hold one prompt.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GroupRequest {
    /// Identifier for the reservations.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Instance that renews them, under the name that engines know.
    #[prost(string, tag = "2")]
    pub holder: String,
    /// Request class.
    #[prost(string, tag = "3")]
    pub class: String,
    /// Model that the engines must serve.
    #[prost(string, tag = "4")]
    pub model: String,
    /// Memory needed, in tokens.
    #[prost(uint64, tag = "5")]
    pub needed_tokens: u64,
    /// Time until the reservations expire, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub expiry_ms: u64,
}

/// Response to a [`GroupRequest`]; without shares nothing is reserved.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GroupResponse {
    /// Identifier of the reservations.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Reserved shares, ordered by engine name.
    #[prost(message, repeated, tag = "2")]
    pub shares: Vec<GroupShare>,
    /// Free memory when nothing is reserved, in tokens.
    #[prost(uint64, tag = "3")]
    pub free_tokens: u64,
}

/// Share of one engine in a group.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GroupShare {
    /// Name of the engine.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Address, `IP:port`.
    #[prost(string, tag = "2")]
    pub addr: String,
    /// Reserved memory, in tokens.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
}

/// Request for the list of members, from an instance that cannot read it.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct MemberListRequest {
    /// Maximum size of the list.
    #[prost(uint64, tag = "1")]
    pub max_bytes: u64,
}

/// List of members, as an instance last read it from the platform.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberList {
    /// Time since that read, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub age_ms: u64,
    /// The list, in the platform's JSON format.
    #[prost(bytes = "bytes", tag = "2")]
    pub json: bytes::Bytes,
}
