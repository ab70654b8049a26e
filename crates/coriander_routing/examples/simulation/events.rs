//! Events, requests and members of the simulation.

use std::collections::VecDeque;
use std::rc::Rc;

use coriander_core::{LogPosition, MemberId};
use coriander_routing::{MemberReport, RequestTicket};
use coriander_tokens::SessionPosition;

pub enum Event {
    Arrive,
    Retry(Job),
    Hedge(u64),
    AtMember(usize, Job),
    Done(usize, Job),
    /// Contains the log index after execution, or `None` if the member refused.
    Response(usize, Job, Option<u64>),
    StatusTick,
    Status(usize, u64),
    StatusBack(usize, MemberReport, u64),
    Apply(usize, u64),
    Stall(usize, u64),
    Slow(usize, u64),
}

#[derive(Clone)]
pub struct Job {
    pub id: u64,
    pub start: u64,
    pub class: usize,
    pub session: usize,
    pub is_write: bool,
    pub session_position: SessionPosition,
    pub min_position: Option<LogPosition>,
    pub excluded: Vec<MemberId>,
    pub is_hedge: bool,
    pub ticket: Option<Rc<RequestTicket>>,
}

#[derive(Default)]
pub struct Member {
    pub queue: VecDeque<Job>,
    pub busy: u32,
    pub index: u64,
    pub applied: u64,
    pub stalled_until: u64,
    pub slow_until: u64,
}
