//! The promotion duty: who may promote, whether and whom, and the promotion itself.

pub mod commit_stop;
pub mod interrupted_promotions;
pub mod lineage_store;
pub mod log_comparison;
pub mod log_inquiry;
pub mod member_inquiry;
pub mod outage_reports;
pub mod primary_confirmation;
pub mod primary_replacement;
pub mod promotion_call;
pub mod promotion_cause;
pub mod promotion_task;
pub mod term_lineage;
