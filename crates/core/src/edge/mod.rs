//! Decisions of the gateway: which target serves a routed request, and when.
//!
//! An operator publishes routes, and targets register themselves. The code here
//! does no I/O and takes the current time as an argument.
//!
//! - [`route_table`]: the routes, services and workspaces of one configuration version.
//! - [`catch_up`]: when an instance asks its peers for what the store has not told it.
//! - [`changes`]: which targets changed since a revision of the store.
//! - [`currency`]: whether the known configuration is current.
//! - [`evacuation`]: availability zones that the operator has evacuated.
//! - [`fleet`]: known targets, and which of them accept new requests.
//! - [`grant`]: what becomes of a waiting request.
//! - [`cost`]: cost model of an engine's prefill and decoding.
//! - [`load`]: requests in flight at each target, from all instances.
//! - [`slowdown`]: how much slower an engine decodes than its peers.
//! - [`helpers`]: targets that do not help with the prompts of others.
//! - [`history`]: what requests have cost, by route and workspace.
//! - [`learning`]: what a scheduler learns of requests and targets.
//! - [`speed`]: how fast each target works, against its peers.
//! - [`pauses`]: pauses that targets ask this instance for.
//! - [`limits`]: limits that targets state in their answers.
//! - [`shared_rate`]: a rate that several instances share.
//! - [`quarantine`]: parts of prompts that crash the targets that serve them.
//! - [`position`]: the order of what was read from the store.
//! - [`progress`]: how far an instance has followed the store.
//! - [`calls`]: the choice of a target for a call at a service.
//! - [`placement`]: the choice of a target for one request.
//! - [`order`]: the order in which schedulers fill engines.
//! - [`price`]: what a second of an engine brings at the margin.
//! - [`pricing`]: the price that a scheduler puts on the time of engines.
//! - [`wait`]: the order of waiting requests, and when they are refused.
//! - [`requirements`]: what the placement of a request depends on.
//! - [`schedule`]: the state of an instance, and the rounds that place waiting requests.
//! - [`retry`]: how many retries an instance may send.
//! - [`retry_share`]: which part of the retries that all share an instance may use.
//! - [`election`]: which instances of an availability zone act for the others.
//! - [`audience`]: which instances get which datagrams.
//! - [`remote`]: requests of this instance that a scheduler of its zone places.
//! - [`clients`]: requests that a scheduler places for other instances.
//! - [`backup`]: when a silent run of a request is backed up at another target.
//! - [`transfer`]: how long an answer may take to arrive.
//! - [`outage`]: whether an outage of the store affected all instances.
//! - [`reach`]: which targets this instance cannot connect to.
//! - [`detour`]: over which peer a request goes whose targets cannot be connected to.
//! - [`outcomes`]: temporary exclusion of targets that fail or do not answer.

pub mod audience;
pub mod backup;
pub mod calls;
pub mod catch_up;
pub mod changes;
pub mod clients;
pub mod cost;
pub mod currency;
pub mod detour;
pub mod election;
pub mod evacuation;
pub mod fleet;
pub mod grant;
pub mod helpers;
pub mod history;
pub mod learning;
pub mod limits;
pub mod load;
pub mod order;
pub mod outage;
pub mod outcomes;
pub mod pauses;
pub mod placement;
pub mod position;
pub mod price;
pub mod pricing;
pub mod progress;
pub mod quarantine;
pub mod reach;
pub mod remote;
pub mod requirements;
pub mod retry;
pub mod retry_share;
pub mod route_table;
pub mod schedule;
pub mod shared_rate;
pub mod slowdown;
pub mod speed;
pub mod stop;
pub mod transfer;
pub mod wait;
