//! Trace spans, one for each hop of a request.
//!
//! The caller's W3C `traceparent` is the parent of the entry span; each hop is
//! a child of the entry span and has the reason for its decision as an attribute.
//! A batch processor exports the spans on its own thread, so that requests do not
//! wait for it. Without an export the caller's header is forwarded unchanged.

use mimosapass_target::engine::TRACE;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::{Span, Status, TraceContextExt, Tracer, TracerProvider};
use opentelemetry::{Context, KeyValue};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider};
use serde::Deserialize;
use std::collections::HashMap;

/// Destination of spans.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Export {
    /// No export.
    #[default]
    Off,
    /// Standard output.
    Stdout,
}

/// Source of the traces of one instance.
#[derive(Clone, Debug)]
pub struct Traces {
    provider: Option<SdkTracerProvider>,
}

impl Traces {
    /// Starts the export, if any.
    pub fn new(export: Export, instance: &str, zone: &str) -> Self {
        let provider = match export {
            Export::Off => None,
            Export::Stdout => Some(provider(instance, zone)),
        };
        Self { provider }
    }

    /// Begins the entry span of a request; `header` is the caller's `traceparent`.
    pub fn begin(&self, header: Option<&str>) -> Trace {
        let header = header.map(str::to_owned);
        let tracer = self.provider.as_ref().map(|p| p.tracer("mimosapass"));
        let entry = match &tracer {
            Some(tracer) => {
                let parent = extract(header.as_deref());
                let span = tracer.start_with_context("entry", &parent);
                Context::new().with_span(span)
            }
            None => Context::new(),
        };
        Trace { header, tracer, hop: entry.clone(), entry }
    }

    /// Exports the remaining spans; later ones are not exported.
    pub fn shutdown(&self) {
        if let Some(Err(e)) = self.provider.as_ref().map(SdkTracerProvider::shutdown) {
            log::warn!("trace: the last spans were not exported: {e}.");
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

fn extract(header: Option<&str>) -> Context {
    let headers: HashMap<String, String> =
        header.map(|value| (TRACE.to_owned(), value.to_owned())).into_iter().collect();
    TraceContextPropagator::new().extract_with_context(&Context::new(), &headers)
}

/// Spans of one request.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    header: Option<String>,
    tracer: Option<SdkTracer>,
    entry: Context,
    hop: Context,
}

impl Trace {
    /// Begins the span of a hop; `reason` says why it is made.
    pub fn begin_hop(&mut self, name: &'static str, reason: &str) {
        if let Some(tracer) = &self.tracer {
            let mut span = tracer.start_with_context(name, &self.entry);
            span.set_attribute(KeyValue::new("reason", reason.to_owned()));
            self.hop = Context::new().with_span(span);
        }
    }

    /// Ends the span of the current hop with its outcome.
    pub fn end_hop(&mut self, outcome: &str) {
        if self.tracer.is_some() {
            end_span(&self.hop, outcome);
            self.hop = self.entry.clone();
        }
    }

    /// Sets an attribute of the entry span.
    pub fn set_attribute(&self, name: &'static str, value: &str) {
        if self.tracer.is_some() {
            self.entry.span().set_attribute(KeyValue::new(name, value.to_owned()));
        }
    }

    /// Returns the `traceparent` header to send with the current hop, if any.
    pub fn traceparent(&self) -> Option<String> {
        if self.tracer.is_none() {
            return self.header.clone();
        }
        let mut headers = HashMap::new();
        TraceContextPropagator::new().inject_context(&self.hop, &mut headers);
        headers.remove(TRACE)
    }

    /// Ends the entry span with the outcome of the request.
    pub fn finish(&mut self, outcome: &str) {
        if self.tracer.is_some() {
            end_span(&self.entry, outcome);
        }
        *self = Self::default();
    }
}

fn end_span(context: &Context, outcome: &str) {
    let span = context.span();
    span.set_attribute(KeyValue::new("outcome", outcome.to_owned()));
    span.set_status(if outcome == "ok" { Status::Ok } else { Status::error(outcome.to_owned()) });
    span.end();
}
