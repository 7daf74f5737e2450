//! Gateways: when they are used, how they are chosen, how the table is distributed and when an
//! unresponsive one is skipped.

mod choice;
mod health;
mod plan;
mod table;
