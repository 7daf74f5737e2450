use std::rc::Rc;

use mustardhinge_core::explain::CandidateReport;

use super::step_decision::StepDecision;
use crate::target::{LinkPreview, TargetHandle};

/// The choice of the target, with what would happen at each target.
pub(super) struct TargetChoice {
    /// All listed targets, with the reports of the choice.
    pub(super) candidates: Vec<CandidateReport>,
    /// The targets that may be used, with the way there.
    pub(super) links: Vec<(Rc<TargetHandle>, LinkPreview)>,
    /// The index of the chosen or most probable target in `links`.
    pub(super) chosen: Option<usize>,
    /// What the choice means for the request.
    pub(super) decision: StepDecision,
    /// What follows from the choice.
    pub(super) effect: String,
    /// What follows from the admission at the targets.
    pub(super) admission_effect: String,
}
