//! Trace spans: one for each hop of a request, exported off its path.
//!
//! The caller's W3C `traceparent` is the parent of the entry span; each hop is
//! a child of the entry span and carries the reason of its decision. A batch
//! processor with a thread of its own exports them. Where nothing is exported,
//! the caller's header is passed on as it came.

use mimosapass_target::engine::TRACE;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::{Span, Status, TraceContextExt, Tracer, TracerProvider};
use opentelemetry::{Context, KeyValue};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider};
use serde::Deserialize;
use std::collections::HashMap;

/// Where spans go.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Export {
    /// Nowhere.
    #[default]
    Off,
    /// To standard output.
    Stdout,
}

/// Source of the traces of one instance.
#[derive(Clone, Debug)]
pub struct Traces {
    provider: Option<SdkTracerProvider>,
}

impl Traces {
    /// Starts the export, if there is one.
    pub fn new(export: Export, instance: &str, zone: &str) -> Self {
        let provider = match export {
            Export::Off => None,
            Export::Stdout => Some(provider(instance, zone)),
        };
        Self { provider }
    }

    /// Begins the entry span of a request; `given` is the caller's header.
    pub fn begin(&self, given: Option<&str>) -> Trace {
        let given = given.map(str::to_owned);
        let tracer = self.provider.as_ref().map(|p| p.tracer("mimosapass"));
        let entry = match &tracer {
            Some(tracer) => {
                let parent = extract(given.as_deref());
                let span = tracer.start_with_context("entry", &parent);
                Context::new().with_span(span)
            }
            None => Context::new(),
        };
        Trace { given, tracer, hop: entry.clone(), entry }
    }

    /// Exports what is left; no span is exported after it.
    pub fn shutdown(&self) {
        if let Some(Err(e)) = self.provider.as_ref().map(SdkTracerProvider::shutdown) {
            log::warn!("trace: the last spans were lost: {e}.");
        }
    }
}

fn provider(instance: &str, zone: &str) -> SdkTracerProvider {
    let resource = Resource::builder()
        .with_service_name("mimosapass")
        .with_attribute(KeyValue::new("instance", instance.to_owned()))
        .with_attribute(KeyValue::new("zone", zone.to_owned()))
        .build();
    SdkTracerProvider::builder()
        .with_batch_exporter(opentelemetry_stdout::SpanExporter::default())
        .with_resource(resource)
        .build()
}

fn extract(given: Option<&str>) -> Context {
    let headers: HashMap<String, String> =
        given.map(|value| (TRACE.to_owned(), value.to_owned())).into_iter().collect();
    TraceContextPropagator::new().extract_with_context(&Context::new(), &headers)
}

/// Spans of one request.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    given: Option<String>,
    tracer: Option<SdkTracer>,
    entry: Context,
    hop: Context,
}

impl Trace {
    /// Begins the span of a hop that was decided on for `reason`.
    pub fn begin_hop(&mut self, name: &'static str, reason: &str) {
        if let Some(tracer) = &self.tracer {
            let mut span = tracer.start_with_context(name, &self.entry);
            span.set_attribute(KeyValue::new("reason", reason.to_owned()));
            self.hop = Context::new().with_span(span);
        }
    }

    /// Ends the span of the hop with its outcome.
    pub fn end_hop(&mut self, outcome: &str) {
        if self.tracer.is_some() {
            close(&self.hop, outcome);
            self.hop = self.entry.clone();
        }
    }

    /// Notes a fact about the whole request.
    pub fn set_attribute(&self, name: &'static str, value: &str) {
        if self.tracer.is_some() {
            self.entry.span().set_attribute(KeyValue::new(name, value.to_owned()));
        }
    }

    /// Returns the `traceparent` for the next hop, if there is a trace.
    pub fn traceparent(&self) -> Option<String> {
        if self.tracer.is_none() {
            return self.given.clone();
        }
        let mut headers = HashMap::new();
        TraceContextPropagator::new().inject_context(&self.hop, &mut headers);
        headers.remove(TRACE)
    }

    /// Ends the entry span with the outcome of the request.
    pub fn finish(&mut self, outcome: &str) {
        if self.tracer.is_some() {
            close(&self.entry, outcome);
        }
        *self = Self::default();
    }
}

fn close(context: &Context, outcome: &str) {
    let span = context.span();
    span.set_attribute(KeyValue::new("outcome", outcome.to_owned()));
    span.set_status(if outcome == "ok" { Status::Ok } else { Status::error(outcome.to_owned()) });
    span.end();
}
