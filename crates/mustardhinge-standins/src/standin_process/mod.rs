//! The stand-ins as processes: settings, command line, start and stop.

mod instance_settings;
mod platform_settings;
mod process_frame;
mod target_process;
mod target_settings;

mod platform_process;

pub use instance_settings::InstanceSettings;
pub use platform_process::serve_platform;
pub use platform_settings::PlatformSettings;
pub use process_frame::ProcessFrame;
pub use target_process::serve_target;
pub use target_settings::{InitialPrimary, TargetProcessSettings};
