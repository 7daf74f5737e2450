//! Checks that hold a run's history against the rules that must always hold.

mod check_all;
mod configuration_order;
mod customer_rate;
mod exactly_once;
mod key_secrecy;
mod key_withdrawal;
mod leaving_target;
mod linearizable_rows;
mod not_run_truth;
mod own_answer;
mod planned_stop;
mod register_spec;
mod replaced_primary;
mod rule_name;
mod rule_violation;
mod session_order;
mod transaction_isolation;

pub use check_all::check_history;
pub use configuration_order::check_configuration_order;
pub use customer_rate::check_customer_rate;
pub use exactly_once::check_exactly_once;
pub use key_secrecy::check_key_secrecy;
pub use key_withdrawal::check_key_withdrawal;
pub use leaving_target::check_leaving_target;
pub use linearizable_rows::{RowChecks, check_linearizable_rows};
pub use not_run_truth::check_not_run_truth;
pub use own_answer::check_own_answer;
pub use planned_stop::check_planned_stop;
pub use register_spec::{RegisterOperation, RegisterSpec};
pub use replaced_primary::check_replaced_primary;
pub use rule_name::RuleName;
pub use rule_violation::RuleViolation;
pub use session_order::check_session_order;
pub use transaction_isolation::check_transaction_isolation;
