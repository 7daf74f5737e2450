//! Tests of the code shared by all processes, one module per feature.

mod args;
mod events;
