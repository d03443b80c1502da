//! Handling of one request, from admission to the end of its answer.

pub mod admission;
pub mod dispatch;
pub mod engine_group;
pub mod generation;
pub mod idempotency;
pub mod model_request;
pub mod queue;
pub mod response;
pub mod retry;
pub mod selection;
pub mod service_call;
pub mod stream_reader;
