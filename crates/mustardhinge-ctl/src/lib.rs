//! Command line for the operators of services.
