//! A small model of servers with few slots, and policies of how work waits for them, is placed
//! and turned away, side by side over the same load.
//!
//! The model has what the policies decide on: slots that several instances share unseen by one
//! another, a queue at each server, connections that belong to a customer and cost a slot's time
//! to open, and replicas that are behind. Answers travel in no time, and nothing fails.
//!
//! A second model compares how reads are placed from reports of the targets' load that are outdated,
//! a third one the entry's queues with and without priorities in front of one target.

mod even_slots_line;
mod fair_line;
mod first_come_line;
mod line_policy;
mod load_pattern;
mod model_run;
mod model_server;
mod placement_case;
mod placement_figures;
mod placement_policy;
mod placement_run;
mod policy_figures;
mod queue_case;
mod queue_figures;
mod queue_policy;
mod queue_run;
mod waiting_statement;

pub use even_slots_line::EvenSlotsLine;
pub use fair_line::FairLine;
pub use first_come_line::FirstComeLine;
pub use line_policy::{LinePolicy, NextWork};
pub use load_pattern::LoadPattern;
pub(crate) use model_run::STEP;
pub use model_run::{run_all, run_policy};
pub use placement_case::PlacementCase;
pub use placement_figures::{PLACEMENT_HEAD, PlacementFigures};
pub use placement_policy::PlacementPolicy;
pub use placement_run::run_placement;
pub use policy_figures::{FIGURES_HEAD, FigureStep, PolicyFigures};
pub use queue_case::QueueCase;
pub use queue_figures::{QUEUE_HEAD, QueueCount, QueueFigures};
pub use queue_policy::QueuePolicy;
pub use queue_run::run_queues;
pub use waiting_statement::WaitingStatement;
