//! The members of a database group as the platform lists them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use coriander_consul::{MemberState, ServiceMember};
use coriander_core::MemberId;
use coriander_failover::{GroupMember, majority_of};
use coriander_upstream::{HttpMember, MemberSettings, PoolSettings, StreamPool};

use super::database_gateway::{DatabaseGateway, GatewayContext};
use super::member_handle::MemberHandle;
use super::slot_gate::SlotMembers;

/// Metadata key of the platform's list with the number of members of the group.
const GROUP_SIZE_KEY: &str = "group_size";

impl DatabaseGateway {
    /// Applies the platform's list of members.
    pub async fn set_listed_members(&self, listed: Vec<ServiceMember>) {
        let mut members = BTreeMap::new();
        for member in &listed {
            let Ok(id) = member.id.parse::<MemberId>() else {
                log::warn!("gateway: member id {:?} is not a valid name", member.id);
                continue;
            };
            let known = self
                .group
                .member(&id)
                .filter(|known| known.address == member.address);
            let handle = match known {
                Some(handle) => handle,
                None => match self.open_member(&id, member).await {
                    Some(handle) => handle,
                    None => continue,
                },
            };
            if let Some(zone) = &member.zone {
                handle.zone.borrow_mut().clone_from(zone);
            }
            handle.is_leaving.set(member.state == MemberState::Leaving);
            members.insert(id, handle);
        }
        // The platform may omit unreachable members; their clients are still needed.
        for handle in self.group.members() {
            members.entry(handle.id.clone()).or_insert_with(|| {
                handle.is_leaving.set(true);
                handle
            });
        }
        if !is_group_complete(&listed, members.len()) {
            log::warn!(
                "gateway: {} has too few listed members; keeping the previous list",
                self.name
            );
            return;
        }
        *self.listed_members.borrow_mut() = listed;
        let states = group_members(&members, &self.context);
        self.group.set_members(members, &states);
        self.update_members();
    }

    async fn open_member(&self, id: &MemberId, member: &ServiceMember) -> Option<Rc<MemberHandle>> {
        let client = match HttpMember::new(member.address, MemberSettings::default()).await {
            Ok(client) => client.with_budget(self.context.answers.clone()),
            Err(error) => {
                log::error!("gateway: client of member {id} not created: {error}");
                return None;
            }
        };
        let pool = StreamPool::new(PoolSettings::default());
        self.resize_pool(&pool);
        Some(Rc::new(MemberHandle {
            id: id.clone(),
            address: member.address,
            zone: RefCell::new(
                member
                    .zone
                    .clone()
                    .unwrap_or_else(|| self.context.own_zone.clone()),
            ),
            is_leaving: Cell::new(false),
            client: Rc::new(client),
            pool,
        }))
    }

    /// Resizes a pool: the gateway gets four fifths of the connections and its backup one fifth.
    pub(super) fn resize_pool(&self, pool: &StreamPool) {
        let total = self.context.bounds.connections_per_database;
        let members = self.listed_members.borrow().len().max(1);
        let per_member = (total / members).max(2);
        let backup = (per_member / 5).max(1);
        let (max_streams, min_streams) = match self.rank.get() {
            Some(0) => (per_member - backup, 1),
            Some(_) => (backup, 0),
            // A former gateway keeps one stream for requests that arrive during a change of ranks.
            None => (1, 0),
        };
        pool.set_max_streams(max_streams);
        pool.set_min_streams(min_streams);
    }

    pub(super) fn update_members(&self) {
        let primary = self.group.primary();
        let in_use = |member: &Rc<MemberHandle>| {
            !member.is_leaving.get() && (self.context.is_zone_in)(&member.zone.borrow())
        };
        let handles = self.group.members();
        self.read_selector
            .set_members(&handles, &*self.context.is_zone_in);
        let is_primary = |id: &MemberId| primary.as_ref().is_some_and(|view| view.member == *id);
        let replicas = handles
            .iter()
            .filter(|member| in_use(member) && !is_primary(&member.id));
        let mut replicas: Vec<_> = replicas.collect();
        replicas.sort_by_key(|member| *member.zone.borrow() != self.context.own_zone);
        let replicas = replicas
            .into_iter()
            .map(|member| member.id.clone())
            .collect();
        let primary = primary.map(|view| view.member);
        self.gate.set_members(SlotMembers { primary, replicas });
    }
}

/// Returns whether a majority of the known members is also a majority of the whole group.
fn is_group_complete(listed: &[ServiceMember], known: usize) -> bool {
    let sizes = listed
        .iter()
        .filter_map(|member| member.meta.get(GROUP_SIZE_KEY)?.parse().ok());
    let size: usize = sizes.max().unwrap_or(3);
    majority_of(known) >= majority_of(size)
}

pub(super) fn group_members(
    members: &BTreeMap<MemberId, Rc<MemberHandle>>,
    context: &GatewayContext,
) -> Vec<GroupMember> {
    let state = |member: &Rc<MemberHandle>| GroupMember {
        id: member.id.clone(),
        zone: member.zone.borrow().clone(),
        is_leaving: member.is_leaving.get(),
        is_zone_out: !(context.is_zone_in)(&member.zone.borrow()),
    };
    members.values().map(state).collect()
}
