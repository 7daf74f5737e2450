//! Tests of settings and documents, by feature.

mod document;
mod samples;
mod settings;
