//! The promotion duty: who may promote, whether and whom, and the promotion itself.

pub mod lineage_store;
pub mod member_inquiry;
pub mod outage_reports;
pub mod primary_confirmation;
pub mod promotion_cause;
pub mod promotion_task;
pub mod term_lineage;
