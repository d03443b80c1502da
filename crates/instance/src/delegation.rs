//! Messages between an instance and the scheduler of its zone that places its requests.
//!
//! They are parts of a [`Datagram`](crate::datagram::Datagram). Each may be lost or
//! arrive twice; the sender repeats what is not answered.

/// Most messages of one kind in a datagram, so that it stays below the usual MTU.
pub const MAX_MESSAGES: usize = 12;

/// A request that a scheduler is asked to place.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ask {
    /// Identifier of the request, unique in the sender's process.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Requested service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Tokens of the prompt; 0 at a service.
    #[prost(uint64, tag = "3")]
    pub prompt_tokens: u64,
    /// Expected tokens of the answer.
    #[prost(uint64, tag = "4")]
    pub answer_tokens: u64,
    /// Maximum pause between events that counts as on time, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub gap_ms: u32,
    /// Whether prefill of the whole prompt makes streams pause too long.
    #[prost(bool, tag = "6")]
    pub long: bool,
    /// Time since its arrival, in milliseconds.
    #[prost(uint32, tag = "7")]
    pub waited_ms: u32,
    /// Time until its first event is due, in milliseconds; negative when overdue.
    #[prost(sint32, tag = "8")]
    pub due_in_ms: i32,
    /// Time until its caller stops waiting, in milliseconds.
    #[prost(uint32, tag = "9")]
    pub expires_in_ms: u32,
    /// Value of an answer on time.
    #[prost(double, tag = "10")]
    pub value: f64,
    /// Time that one target needs for the prompt, in microseconds.
    #[prost(uint64, tag = "11")]
    pub work_us: u64,
    /// Least time that several targets need for it together, in microseconds.
    #[prost(uint64, tag = "12")]
    pub min_work_us: u64,
    /// Priority; 0 is the most urgent.
    #[prost(uint32, tag = "13")]
    pub priority: u32,
    /// Targets that have already failed the request.
    #[prost(string, repeated, tag = "14")]
    pub avoid: Vec<String>,
    /// Whether one target is preferred to several, as long as it is on time.
    #[prost(bool, tag = "15")]
    pub whole: bool,
    /// Route of the request.
    #[prost(string, tag = "16")]
    pub route: String,
    /// Workspace of the request; empty if it has none.
    #[prost(string, tag = "17")]
    pub workspace: String,
    /// The caller's estimate of the answer's tokens; 0 if there is none.
    #[prost(uint64, tag = "18")]
    pub stated_tokens: u64,
    /// Most tokens of the answer.
    #[prost(uint64, tag = "19")]
    pub max_tokens: u64,
}

/// Requests that the sender still has at the receiver.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Held {
    /// Identifiers of the requests.
    #[prost(uint64, repeated, tag = "1")]
    pub ids: Vec<u64>,
}

/// What the sender observed of a target.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Observation {
    /// Identifier of the target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Outcome of an attempt.
    #[prost(enumeration = "AttemptOutcome", tag = "2")]
    pub outcome: i32,
    /// Shortest gap between events since the last observation, in microseconds; 0 if
    /// there was none.
    #[prost(uint64, tag = "3")]
    pub gap_us: u64,
}

/// What a request has cost that has ended well.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CostReport {
    /// Identifier of the target that ran it.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Route of the request.
    #[prost(string, tag = "2")]
    pub route: String,
    /// Workspace of the request; empty if it has none.
    #[prost(string, tag = "3")]
    pub workspace: String,
    /// Tokens of the answer, or seconds of a call at a service.
    #[prost(double, tag = "4")]
    pub cost: f64,
    /// What its caller stated, in the same unit; 0 if nothing.
    #[prost(double, tag = "5")]
    pub stated: f64,
}

/// Outcome of an attempt at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub enum AttemptOutcome {
    /// No attempt has ended.
    None = 0,
    /// The answer was complete.
    Answered = 1,
    /// The target failed, or its answer was broken or belonged to another request.
    Failed = 2,
    /// The target could not be reached or stopped sending.
    Silent = 3,
    /// The target refused the request without running it.
    Refused = 4,
}

/// A target of a placement.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PlacedTarget {
    /// Identifier of the target.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Prompt tokens that it keeps in memory until the answer ends; 0 for none, and for
    /// the target that decodes.
    #[prost(uint64, tag = "2")]
    pub kept_tokens: u64,
}

/// Answer of a scheduler to an [`Ask`]; the request waits if it is neither granted nor
/// refused.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Reply {
    /// Identifier of the request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Targets, starting with the one that decodes; empty if nothing is granted.
    #[prost(message, repeated, tag = "2")]
    pub targets: Vec<PlacedTarget>,
    /// Memory that the decoding target needs, in tokens.
    #[prost(uint64, tag = "3")]
    pub memory_tokens: u64,
    /// Predicted time to the first event, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub first_event_ms: u32,
    /// Predicted loss of value of other requests.
    #[prost(double, tag = "5")]
    pub interference: f64,
    /// Whether the request is refused because it can no longer be served in time.
    #[prost(bool, tag = "6")]
    pub late: bool,
    /// Whether the request is refused under pressure.
    #[prost(bool, tag = "7")]
    pub shed: bool,
    /// Pressure under which it is refused, 0 to 1.
    #[prost(double, tag = "8")]
    pub pressure: f64,
    /// Time after which the caller may come back if the request is refused because all targets
    /// state limits, in milliseconds; 0 if it is not.
    #[prost(uint32, tag = "9")]
    pub limited_ms: u32,
    /// Value that a second of an engine brings elsewhere, if the request is refused for it; 0 if
    /// it is not. Receivers that do not know it take the request for refused under pressure.
    #[prost(double, tag = "10")]
    pub price: f64,
}
