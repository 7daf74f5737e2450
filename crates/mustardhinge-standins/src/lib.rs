//! Small stand-ins of the platform and of the target, for tests and trials.
