//! The part that a target plays in its group: role, term, log and rows.

mod group_member;
mod member_report;
mod member_role;
mod primary_link;
mod sql_error;

pub use group_member::GroupMember;
pub use member_report::MemberReport;
pub use member_role::MemberRole;
pub use primary_link::PrimaryLink;
pub use sql_error::SqlError;
