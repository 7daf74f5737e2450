//! Settings of the processes and documents of the services.

pub mod document;
