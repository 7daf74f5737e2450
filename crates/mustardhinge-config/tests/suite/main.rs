//! Tests of settings and documents, by feature.

mod document;
mod edit;
mod line;
mod samples;
mod settings;
