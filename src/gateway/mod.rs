//! The gateway: serves the routes configured by a platform's operator.
//!
//! Dependencies run in one direction: `serve` starts the threads, the threads use
//! `state`, and `state` holds the data on which `mimosapass-core` decides.
//!
//! | Module | Purpose |
//! |---|---|
//! | `settings` | reads and checks the settings |
//! | `state` | state shared by the threads |
//! | `follow` | follows configuration, targets and peers in the store |
//! | `member` | registers this instance in the store |
//! | `snapshot` | fetches snapshots of the store's data from peers |
//! | `peers` | what is known of other instances, and who gets which datagrams |
//! | `gossip` | exchanges requests in flight with peers |
//! | `delegate` | delegates placements to the schedulers of the zone |
//! | `request` | resolves the route and workspace of a request |
//! | `queue` | queues requests until they are granted a target |
//! | `detour` | sends requests over a peer while their targets cannot be connected to |
//! | `reach` | which targets this instance can connect to |
//! | `attempt` | connects to a target and encodes a request for it |
//! | `prepared` | prepares a run: reserves memory and connects |
//! | `run` | one run of a request at a target |
//! | `runs` | the runs of one request: waits for them, and backs up a silent one |
//! | `retries` | asks for retries within the operator's limits, and records them |
//! | `reservations` | reserves memory for a prompt that one engine cannot hold |
//! | `relay` | relays event streams |
//! | `reload` | puts settings that changed in force while the process runs |
//! | `resume` | streams that go on at another target |
//! | `crashes` | which parts of prompts crash targets, and what peers are told of it |
//! | `notices` | what targets state about themselves in their answers |
//! | `ending` | how a request ends: log line, metrics, responses of the gateway itself |
//! | `flow` | serves one request |
//! | `stop` | stops the gateway, and says what it still takes |
//! | `serve` | starts the threads and servers |

pub mod serve;
pub mod settings;

mod attempt;
mod crashes;
mod delegate;
mod detour;
mod ending;
mod evacuation;
mod flow;
mod follow;
mod gossip;
mod member;
mod metrics;
mod notices;
mod outlays;
mod peers;
mod prepared;
mod queue;
mod reach;
mod relay;
mod reload;
mod request;
mod reservations;
mod resume;
mod retries;
mod run;
mod runs;
mod snapshot;
mod state;
mod stop;
