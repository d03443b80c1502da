//! The side towards operators: configuration documents and status pages.

pub mod document;
pub mod edit;
pub mod pages;
pub mod store;
pub mod yaml;
