//! The platform's promotion call in memory, and the task that uses it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use coriander_service::{BootClock, PromotionTask, SessionService};
use coriander_service_api::{DutyLease, MemberRole, PromotionApi, PromotionError, ReadFreshness};

use super::fake_store::FakeStore;
use super::{FakeGroup, config, snapshot};

/// Promotes members of a group some time after the call, as the platform does.
pub struct FakePromotionApi {
    group: Rc<FakeGroup>,
    delay: Duration,
    pub error: Cell<Option<PromotionError>>,
    /// Whether the promoted member is cut off when it becomes primary.
    pub cuts_off: Cell<bool>,
    /// Whether clients of other instances commit when the call arrives and until its effect.
    pub commits: Cell<bool>,
    /// Whether the promoted member receives nothing from the call on.
    pub deafens: Cell<bool>,
    pub calls: RefCell<Vec<(String, u64)>>,
}

impl FakePromotionApi {
    pub fn new(group: &Rc<FakeGroup>) -> Rc<Self> {
        Rc::new(Self {
            group: group.clone(),
            delay: Duration::from_millis(80),
            error: Cell::new(None),
            cuts_off: Cell::new(false),
            commits: Cell::new(false),
            deafens: Cell::new(false),
            calls: RefCell::default(),
        })
    }
}

#[async_trait(?Send)]
impl PromotionApi for FakePromotionApi {
    async fn promote(
        &self,
        _group: &str,
        member: &str,
        _holder: &str,
        token: u64,
    ) -> Result<(), PromotionError> {
        self.calls.borrow_mut().push((member.into(), token));
        if let Some(error) = self.error.take() {
            return Err(error);
        }
        let (group, member) = (self.group.clone(), member.to_owned());
        let (delay, cuts_off, commits) = (self.delay, self.cuts_off.get(), self.commits.get());
        if self.deafens.get() {
            group.member(&member).receives.set(false);
        }
        if commits {
            group.commit(1);
        }
        ntex::rt::spawn(async move {
            tokio::time::sleep(delay / 2).await;
            if commits {
                group.commit(1);
            }
            tokio::time::sleep(delay / 2).await;
            if cuts_off {
                let promoted = group.member(&member);
                promoted.reachable.set(false);
                promoted.role.set(MemberRole::Primary);
                promoted.term.set(2);
                return;
            }
            group.lead(&member);
        });
        Ok(())
    }
}

pub fn hold_promotion_duty(service: &SessionService, group: &FakeGroup, token: u64) {
    let mut snapshot = snapshot(config(1, ReadFreshness::Newest), group.entries());
    snapshot.duty_lease = Some(DutyLease {
        holder: service.settings().process_id.clone(),
        address: None,
        token,
    });
    service.apply_snapshot(&snapshot, BootClock.now());
    service.promotion_duty.record_renewal(BootClock.now());
}

pub fn start_promotions(
    service: &Rc<SessionService>,
    group: &Rc<FakeGroup>,
    api: &Rc<FakePromotionApi>,
) {
    start_promotions_with(service, group, api, &FakeStore::new(41));
}

pub fn start_promotions_with(
    service: &Rc<SessionService>,
    group: &Rc<FakeGroup>,
    api: &Rc<FakePromotionApi>,
    store: &Rc<FakeStore>,
) {
    let connector = group.clone();
    let task = PromotionTask::new(service.clone(), connector, store.clone(), api.clone());
    ntex::rt::spawn(task.run());
}

pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..300 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("{what} did not happen within 3 s");
}
