//! Tests of settings and documents, by feature.

mod document;
mod edit;
mod samples;
mod settings;
