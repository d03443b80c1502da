//! Operator interface: configuration documents, their store and status pages.

pub mod document;
pub mod edit;
pub mod pages;
pub mod store;
pub mod yaml;
