//! Gateways: how many, which ones, how the table is spread, and when one is passed over.

mod choice;
mod health;
mod plan;
mod table;
