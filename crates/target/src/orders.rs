//! Client for orders to engines: which models to load, with a fencing token.

use std::time::Duration;

use mimosapass_core::orders::DesiredState;
use serde::{Deserialize, Serialize};
use ureq::Agent;

use crate::client::{call_error, error_text, read_json};
use crate::error::CallError;

/// Path of orders and of an engine's assignment.
pub const PATH: &str = "/orders";
/// Header with the fencing token of an order.
pub const FENCE: &str = "mimosapass-fence";
/// HTTP status for an order with an old fencing token.
pub const STALE_FENCE: u16 = 409;
/// HTTP status for an order that exceeds the weight store's rate limit.
pub const RATE_LIMITED: u16 = 429;
/// HTTP status of an engine that supports no orders.
pub const NOT_SUPPORTED: u16 = 404;

/// Models and role that an engine has.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Assignment {
    /// Models and role.
    pub goal: DesiredState,
    /// Highest fencing token seen, if the engine checks it.
    pub fence: Option<u64>,
}

/// Fetches the assignment of an engine.
///
/// # Errors
///
/// [`CallError::Rejected`] with status 404 if the engine supports no orders.
pub fn fetch(agent: &Agent, addr: &str, timeout: Duration) -> Result<Assignment, CallError> {
    let url = format!("http://{addr}{PATH}");
    let request = agent.get(url).config().timeout_global(Some(timeout)).build();
    let response = request.call().map_err(|e| call_error(&e))?;
    let mut response = check_status(response)?;
    read_json(&mut response)
}

/// Orders an engine to adopt `goal`; the order may be repeated.
///
/// # Errors
///
/// [`CallError::Rejected`] with status 409 for an old fencing token and 429 if
/// the rate limit of the weight store is exceeded.
pub fn send(
    agent: &Agent,
    addr: &str,
    fence: u64,
    goal: &DesiredState,
    timeout: Duration,
) -> Result<(), CallError> {
    let url = format!("http://{addr}{PATH}");
    let request = agent.put(url).header(FENCE, fence.to_string());
    let request = request.config().timeout_global(Some(timeout)).build();
    check_status(request.send_json(goal).map_err(|e| call_error(&e))?).map(drop)
}

type Response = ureq::http::Response<ureq::Body>;

fn check_status(mut response: Response) -> Result<Response, CallError> {
    let status = response.status().as_u16();
    if status == 200 {
        return Ok(response);
    }
    let text = error_text(&mut response);
    Err(CallError::Rejected { status, text })
}
