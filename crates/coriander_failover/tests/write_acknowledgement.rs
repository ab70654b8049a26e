//! Conditions for the acknowledgement of a write.

use coriander_core::{ConfirmReply, LogPosition, MemberId, TermNumber, WriteCertainty};
use coriander_failover::{AckState, PrimaryView, WriteAcknowledgement};

fn members() -> Vec<MemberId> {
    ["a", "b", "c"]
        .map(|name| name.parse().expect("name"))
        .to_vec()
}

fn write(certainty: WriteCertainty, term: u64) -> WriteAcknowledgement {
    let view = PrimaryView {
        member: members()[0].clone(),
        term: TermNumber::new(4),
    };
    let position = LogPosition::new(TermNumber::new(term), 9);
    WriteAcknowledgement::new(&view, position, &members(), certainty)
}

fn reply(confirmed: bool, term: u64, log: (u64, u64)) -> ConfirmReply {
    let log = LogPosition::new(TermNumber::new(log.0), log.1);
    ConfirmReply {
        confirmed,
        term: TermNumber::new(term),
        log,
    }
}

/// Guards against an acknowledgement before all members hold the write.
#[test]
fn record_all_needs_every_member() {
    let mut write = write(WriteCertainty::All, 4);
    assert_eq!(
        write.record(&members()[1], &reply(true, 4, (4, 9))),
        AckState::Waiting
    );
    assert_eq!(
        write.record(&members()[1], &reply(true, 4, (4, 9))),
        AckState::Waiting
    );
    assert_eq!(
        write.record(&members()[2], &reply(true, 4, (4, 12))),
        AckState::Acknowledged
    );
}

/// Guards against counting replies of another term, a shorter log or an older last entry.
#[test]
fn record_ignores_invalid_replies() {
    let mut write = write(WriteCertainty::Majority, 4);
    for invalid in [
        (false, 4, (4, 9)),
        (true, 4, (4, 8)),
        (true, 4, (3, 9)),
        (true, 3, (4, 9)),
    ] {
        let state = write.record(&members()[1], &reply(invalid.0, invalid.1, invalid.2));
        assert_eq!(state, AckState::Waiting, "{invalid:?}");
    }
    assert_eq!(
        write.record(&members()[0], &reply(true, 4, (4, 9))),
        AckState::Waiting
    );
}

/// Guards against waiting for members that have moved to a later term.
#[test]
fn record_later_term_makes_impossible() {
    let mut write = write(WriteCertainty::Majority, 4);
    assert_eq!(
        write.record(&members()[1], &reply(false, 5, (4, 9))),
        AckState::Waiting
    );
    assert_eq!(
        write.record(&members()[2], &reply(false, 5, (4, 9))),
        AckState::Impossible
    );
}

/// Guards against acknowledging a position that another primary wrote.
#[test]
fn new_rejects_other_term() {
    let mut write = write(WriteCertainty::Majority, 3);
    assert_eq!(
        write.record(&members()[1], &reply(true, 3, (3, 9))),
        AckState::Impossible
    );
}

/// Guards against a majority of an incomplete member list.
#[test]
fn with_group_size_raises_majority() {
    let write = write(WriteCertainty::Majority, 4).with_group_size(5, WriteCertainty::Majority);
    let mut write = write;
    assert_eq!(
        write.record(&members()[1], &reply(true, 4, (4, 9))),
        AckState::Waiting
    );
    assert_eq!(
        write.record(&members()[2], &reply(true, 4, (4, 9))),
        AckState::Acknowledged
    );
}
