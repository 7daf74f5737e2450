//! The whole system in one process, in a few seconds.
