//! Client for orders to engines: what to carry, with a fencing number.

use std::time::Duration;

use mimosapass_core::orders::DesiredState;
use serde::{Deserialize, Serialize};
use ureq::Agent;

use crate::client::fault;
use crate::fault::Fault;

/// Path of orders and of what an engine carries.
pub const PATH: &str = "/orders";
/// Header with the fencing number of an order.
pub const FENCE: &str = "mimosapass-fence";
/// Status of an order whose fencing number is old.
pub const OLD: u16 = 409;
/// Status of an order that the weight store's rate limit stopped.
pub const LIMITED: u16 = 429;
/// Status of an engine that takes no orders.
pub const NONE: u16 = 404;

/// What an engine carries.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Carried {
    /// Models and role.
    pub goal: DesiredState,
    /// Highest fencing number seen, where the engine checks it.
    pub fence: Option<u64>,
}

/// Reads what an engine carries.
///
/// # Errors
///
/// [`Fault::Rejected`] with status 404 where the engine takes no orders.
pub fn read(agent: &Agent, addr: &str, time: Duration) -> Result<Carried, Fault> {
    let url = format!("http://{addr}{PATH}");
    let request = agent.get(url).config().timeout_global(Some(time)).build();
    let response = request.call().map_err(|e| fault(&e))?;
    let mut response = taken(response)?;
    response.body_mut().read_json().map_err(|e| fault(&e))
}

/// Orders an engine to carry what `goal` says; it may be repeated.
///
/// # Errors
///
/// [`Fault::Rejected`] with status 409 for an old fencing number and 429 where
/// the weight store's limit was met.
pub fn order(
    agent: &Agent,
    addr: &str,
    fence: u64,
    goal: &DesiredState,
    time: Duration,
) -> Result<(), Fault> {
    let url = format!("http://{addr}{PATH}");
    let request = agent.put(url).header(FENCE, fence.to_string());
    let request = request.config().timeout_global(Some(time)).build();
    taken(request.send_json(goal).map_err(|e| fault(&e))?).map(drop)
}

type Response = ureq::http::Response<ureq::Body>;

fn taken(mut response: Response) -> Result<Response, Fault> {
    let status = response.status().as_u16();
    if status == 200 {
        return Ok(response);
    }
    let text = response.body_mut().read_to_string().unwrap_or_default();
    Err(Fault::Rejected { status, text })
}
