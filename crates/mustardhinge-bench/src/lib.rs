//! Load, faults, history checks and reports.
