//! Linearizable key-value store whose requests and responses can be lost.

use std::collections::BTreeMap;
use std::rc::Rc;

use coriander_config::{
    ConfigRoot, EncodedSection, RootRead, SectionName, SectionRef, WriteResult,
};

/// A call of an instance.
#[derive(Clone, Debug)]
pub enum PlatformCall {
    ReadRoot,
    ReadSections(Rc<ConfigRoot>, Vec<SectionName>),
    ReadFleets(Vec<SectionRef>),
    Store(String, Vec<u8>),
    WriteRoot(Vec<u8>, Option<u64>),
    Delete(Vec<String>),
}

/// A response of the platform.
#[derive(Clone, Debug)]
pub enum PlatformReply {
    Root(RootRead),
    Sections(Rc<ConfigRoot>, Option<Vec<EncodedSection>>),
    Fleets(Option<Vec<(SectionRef, Vec<u8>)>>),
    Stored(String, WriteResult),
    RootWritten(WriteResult),
    Deleted,
}

#[derive(Default)]
pub struct Platform {
    pub is_down: bool,
    root: Option<(Rc<ConfigRoot>, u64)>,
    values: BTreeMap<String, Vec<u8>>,
    /// Change that produced each version.
    pub history: Vec<String>,
}

impl Platform {
    pub fn version(&self) -> u64 {
        self.history.len() as u64
    }

    pub fn call(&mut self, call: PlatformCall) -> PlatformReply {
        match call {
            PlatformCall::ReadRoot => PlatformReply::Root(match &self.root {
                Some((root, index)) => RootRead::Found {
                    root: Rc::clone(root),
                    index: *index,
                },
                None => RootRead::Absent,
            }),
            PlatformCall::ReadSections(root, names) => {
                let read = |name: SectionName| {
                    let bytes = self
                        .values
                        .get(&root.sections.get(name).platform_key(name))?;
                    let bytes = bytes.clone();
                    Some(EncodedSection { name, bytes })
                };
                let sections = names.into_iter().map(read).collect();
                PlatformReply::Sections(root, sections)
            }
            PlatformCall::ReadFleets(refs) => {
                let key = |fleet: &SectionRef| fleet.platform_key(SectionName::Fleet);
                let read = |fleet: &SectionRef| {
                    let bytes = self.values.get(&key(fleet))?;
                    Some((fleet.clone(), bytes.clone()))
                };
                PlatformReply::Fleets(refs.iter().map(read).collect())
            }
            PlatformCall::Store(key, bytes) => {
                self.values.insert(key.clone(), bytes);
                PlatformReply::Stored(key, WriteResult::Written)
            }
            PlatformCall::WriteRoot(bytes, expected_index) => {
                if self.root.as_ref().map(|(_, index)| *index) != expected_index {
                    return PlatformReply::RootWritten(WriteResult::ConditionFailed);
                }
                let root = ConfigRoot::decode(&bytes).expect("valid root");
                let next = expected_index.unwrap_or(0) + 1;
                self.history.push(root.change_id.clone());
                self.root = Some((Rc::new(root), next));
                PlatformReply::RootWritten(WriteResult::Written)
            }
            PlatformCall::Delete(keys) => {
                for key in keys {
                    self.values.remove(&key);
                }
                PlatformReply::Deleted
            }
        }
    }

    /// Returns the reply that an instance assumes when no response arrives.
    pub fn failure(call: &PlatformCall, was_sent: bool) -> PlatformReply {
        let lost = if was_sent {
            WriteResult::ResponseLost
        } else {
            WriteResult::NotSent
        };
        match call {
            PlatformCall::ReadRoot => PlatformReply::Root(RootRead::Failed),
            PlatformCall::ReadSections(root, _) => PlatformReply::Sections(Rc::clone(root), None),
            PlatformCall::ReadFleets(_) => PlatformReply::Fleets(None),
            PlatformCall::Store(key, _) => PlatformReply::Stored(key.clone(), lost),
            PlatformCall::WriteRoot(..) => PlatformReply::RootWritten(lost),
            PlatformCall::Delete(_) => PlatformReply::Deleted,
        }
    }
}
