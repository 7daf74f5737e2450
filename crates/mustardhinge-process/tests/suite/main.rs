//! Tests of what all processes share, by feature.

mod args;
mod events;
