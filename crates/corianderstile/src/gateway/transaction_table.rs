//! Open interactive transactions of one gateway.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use coriander_core::{AccountName, ErrorCode, KeyDigest, MonotonicTime, RequestError, TermNumber};
use coriander_upstream::StreamLease;

use super::member_handle::MemberHandle;

/// Account and key of an open transaction.
pub struct TransactionOwner {
    /// Account that opened the transaction.
    pub account: AccountName,
    /// Key with which it was opened.
    pub key: KeyDigest,
}

/// One transaction with its exclusive upstream stream.
pub struct OpenTransaction {
    /// Account and key that opened the transaction.
    pub owner: TransactionOwner,
    /// Member on which it runs.
    pub member: Rc<MemberHandle>,
    /// Term in which it runs; another term ends it.
    pub term: TermNumber,
    /// Sequence number of the next request.
    pub sequence: u64,
    /// Whether SQL texts are stored on the stream, which keeps it open between transactions.
    pub has_stored_sql: bool,
    lease: Option<StreamLease>,
}

impl OpenTransaction {
    /// Creates a transaction on an exclusively leased stream.
    pub fn new(
        owner: TransactionOwner,
        member: Rc<MemberHandle>,
        term: TermNumber,
        lease: StreamLease,
    ) -> Self {
        let lease = Some(lease);
        Self {
            owner,
            member,
            term,
            sequence: 0,
            has_stored_sql: false,
            lease,
        }
    }

    /// Returns the member and the stream for the next request.
    pub fn stream(&mut self) -> Option<(&Rc<MemberHandle>, &mut StreamLease)> {
        Some((&self.member, self.lease.as_mut()?))
    }

    /// Returns the stream to the pool after the transaction has ended.
    pub fn release(mut self, now: MonotonicTime) {
        if let Some(lease) = self.lease.take() {
            lease.check_in(now);
        }
    }
}

impl Drop for OpenTransaction {
    /// Rolls the transaction back by closing its stream at the member.
    fn drop(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.close();
        }
    }
}

enum TransactionSlot {
    Idle {
        transaction: Box<OpenTransaction>,
        idle_since: MonotonicTime,
    },
    Busy {
        owner_key: KeyDigest,
        is_ended: bool,
    },
}

/// Transactions by stream number.
///
/// A transaction is removed while a request runs on it, so that two requests can never use its
/// stream at the same time.
#[derive(Default)]
pub struct TransactionTable {
    slots: RefCell<HashMap<u64, TransactionSlot>>,
    next_stream: Cell<u64>,
}

impl TransactionTable {
    /// Reserves a stream number for a transaction that is being opened.
    pub fn reserve(&self, key: KeyDigest) -> u64 {
        let stream = self.next_stream.get() + 1;
        self.next_stream.set(stream);
        let slot = TransactionSlot::Busy {
            owner_key: key,
            is_ended: false,
        };
        self.slots.borrow_mut().insert(stream, slot);
        stream
    }

    /// Removes a transaction for the duration of its next request.
    ///
    /// A request with an earlier sequence number is a repetition whose first copy already ran or
    /// is running; it is refused and does not affect the transaction.
    pub fn take(
        &self,
        stream: u64,
        sequence: u64,
        account: &AccountName,
    ) -> Result<Box<OpenTransaction>, RequestError> {
        let mut slots = self.slots.borrow_mut();
        let Some(slot) = slots.remove(&stream) else {
            // The request may repeat a COMMIT whose response was lost, so "not run" could be false.
            let message = "the transaction has ended and was rolled back unless it was committed";
            return Err(RequestError::unknown(ErrorCode::TransactionLost, message));
        };
        let refuse = |message: &str| Err(RequestError::not_run(ErrorCode::BadBaton, message));
        match slot {
            TransactionSlot::Idle {
                transaction,
                idle_since,
            } if transaction.sequence != sequence || transaction.owner.account != *account => {
                slots.insert(
                    stream,
                    TransactionSlot::Idle {
                        transaction,
                        idle_since,
                    },
                );
                refuse("baton was used before")
            }
            TransactionSlot::Idle { transaction, .. } => {
                let owner_key = transaction.owner.key;
                slots.insert(
                    stream,
                    TransactionSlot::Busy {
                        owner_key,
                        is_ended: false,
                    },
                );
                Ok(transaction)
            }
            busy @ TransactionSlot::Busy { .. } => {
                slots.insert(stream, busy);
                refuse("another request runs in this transaction")
            }
        }
    }

    /// Puts a transaction back after a request; fails if its key was withdrawn in the meantime.
    pub fn put_back(
        &self,
        stream: u64,
        transaction: Box<OpenTransaction>,
        now: MonotonicTime,
    ) -> Result<(), Box<OpenTransaction>> {
        let mut slots = self.slots.borrow_mut();
        if let Some(TransactionSlot::Busy { is_ended: true, .. }) = slots.get(&stream) {
            slots.remove(&stream);
            return Err(transaction);
        }
        slots.insert(
            stream,
            TransactionSlot::Idle {
                transaction,
                idle_since: now,
            },
        );
        Ok(())
    }

    /// Removes a transaction that has ended.
    pub fn remove(&self, stream: u64) {
        self.slots.borrow_mut().remove(&stream);
    }

    /// Rolls back the transactions of withdrawn keys; running ones end with their request.
    pub fn withdraw_keys(&self, is_withdrawn: impl Fn(&KeyDigest) -> bool) -> usize {
        let mut ended = 0;
        self.slots.borrow_mut().retain(|_, slot| match slot {
            TransactionSlot::Idle { transaction, .. } => {
                let is_kept = !is_withdrawn(&transaction.owner.key);
                ended += usize::from(!is_kept);
                is_kept
            }
            TransactionSlot::Busy {
                owner_key,
                is_ended,
            } => {
                if !*is_ended && is_withdrawn(owner_key) {
                    *is_ended = true;
                    ended += 1;
                }
                true
            }
        });
        ended
    }

    /// Rolls back transactions that were idle for `limit` or belong to another term.
    pub fn expire(&self, now: MonotonicTime, limit: Duration, term: Option<TermNumber>) {
        self.slots.borrow_mut().retain(|_, slot| match slot {
            TransactionSlot::Idle {
                transaction,
                idle_since,
            } => {
                let is_current = term.is_none_or(|term| transaction.term == term);
                is_current && now.since(*idle_since) < limit
            }
            TransactionSlot::Busy { .. } => true,
        });
    }

    /// Returns the number of open transactions.
    pub fn len(&self) -> usize {
        self.slots.borrow().len()
    }
}
