//! Dispatches a request to its handler by path.

use std::sync::Arc;

use mimosapass_caller::error_response;
use mimosapass_caller::exchange::Exchange;
use mimosapass_caller::openai::Call;
use mimosapass_core::config::Config;
use mimosapass_core::error::{Failure, Kind};
use serde::Serialize;

use crate::node::Node;
use crate::request::{model_request, service_call};

/// Path prefix of services.
const SERVICES: &str = "/services/";

/// Answers one request.
pub fn handle(node: &Arc<Node>, exchange: &mut Exchange<'_>) {
    let path = exchange.head.path.clone();
    let method = exchange.head.method.clone();
    if let Some(call) = Call::from_path(&path) {
        if method == "POST" {
            return model_request::handle(node, exchange, call);
        }
        return refuse(exchange, &Failure::new(Kind::BadRequest, "use POST for this path"));
    }
    if let Some(rest) = path.strip_prefix(SERVICES) {
        return service_call::handle(node, exchange, rest);
    }
    match (method.as_str(), path.as_str(), node.document()) {
        ("GET" | "HEAD", "/v1/models", Some(document)) => models(exchange, &document.config),
        ("GET" | "HEAD", "/v1/models", None) => {
            refuse(exchange, &Failure::new(Kind::NotReady, "no configuration yet"));
        }
        _ => refuse(exchange, &Failure::new(Kind::NotFound, "no such path")),
    }
}

fn refuse(exchange: &mut Exchange<'_>, failure: &Failure) {
    // The caller may have disconnected.
    error_response::send(exchange, failure, None).unwrap_or_default();
}

#[derive(Serialize)]
struct Models<'a> {
    object: &'static str,
    data: Vec<Model<'a>>,
}

#[derive(Serialize)]
struct Model<'a> {
    id: String,
    object: &'static str,
    owned_by: &'a str,
}

fn models(exchange: &mut Exchange<'_>, config: &Config) {
    let with_adapters = |m: &mimosapass_core::config::Model| {
        let adapters: Vec<String> = m.adapters.iter().map(|a| format!("{}:{a}", m.name)).collect();
        std::iter::once(m.name.to_string()).chain(adapters)
    };
    let data = config
        .models
        .iter()
        .flat_map(with_adapters)
        .map(|id| Model { id, object: "model", owned_by: "mimosapass" })
        .collect();
    let body = serde_json::to_vec(&Models { object: "list", data }).unwrap_or_default();
    let headers = [("content-type", "application/json".to_owned())];
    exchange.respond(200, &headers, &body).unwrap_or_default();
}
