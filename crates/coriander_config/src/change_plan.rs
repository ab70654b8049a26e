//! The version that a change produces from the version that the operator expects.

use std::collections::BTreeMap;
use std::rc::Rc;

use coriander_core::ConfigDocument;

use crate::config_root::MAX_RECENT_CHANGES;
use crate::config_section::encode_changes;
use crate::{
    ChangeRequest, ConfigRoot, EncodedSection, RecentChange, RefusalReason, SectionError,
    SectionRef,
};

/// Maximum number of distinct fleets that have to confirm a version.
const MAX_UNCONFIRMED_FLEETS: usize = 8;

/// A new version that is ready to be written.
#[derive(Clone, Debug)]
pub struct ChangePlan {
    pub root: Rc<ConfigRoot>,
    pub document: Rc<ConfigDocument>,
    pub sections: Vec<EncodedSection>,
    pub encoded_root: Vec<u8>,
}

impl ChangePlan {
    /// Applies the change to the base version.
    ///
    /// `is_settled` states that the base version is known to be accepted.
    pub fn new(
        request: &ChangeRequest,
        base: Option<&ConfigRoot>,
        base_document: &ConfigDocument,
        is_settled: bool,
    ) -> Result<Self, RefusalReason> {
        let mut document = base_document.clone();
        let applied = request.change.apply(&mut document);
        applied.map_err(RefusalReason::Command)?;
        document.version = base_document.version.next();
        document.author = request.author.clone();
        document.change_id = request.change_id.clone();
        let refs = base.map(|root| &root.sections);
        let (sections, changed) =
            encode_changes(refs, &document).map_err(|error| refuse_section(&error))?;
        let fleets = required_fleets(base, &sections.fleet, is_settled)?;
        let is_same_fleet = base.is_some_and(|root| {
            root.sections.fleet.digest == sections.fleet.digest
                && root.sections.zones.digest == sections.zones.digest
        });
        document.fleet_version = base_document.fleet_version + u64::from(!is_same_fleet);
        let mut recent = base.map_or_else(Vec::new, |root| root.recent.clone());
        recent.push(RecentChange {
            version: document.version,
            change_id: request.change_id.clone(),
            author: request.author.clone(),
        });
        let surplus = recent.len().saturating_sub(MAX_RECENT_CHANGES);
        recent.drain(..surplus);
        let root = ConfigRoot {
            version: document.version,
            author: request.author.clone(),
            change_id: request.change_id.clone(),
            fleet_version: document.fleet_version,
            sections,
            fleets,
            recent,
        };
        Ok(Self {
            encoded_root: root.encode().map_err(|error| refuse_section(&error))?,
            root: Rc::new(root),
            document: Rc::new(document),
            sections: changed,
        })
    }
}

impl ChangePlan {
    /// Returns the sections to store by their platform keys.
    pub fn section_writes(&self) -> BTreeMap<String, Vec<u8>> {
        let sections = self.sections.iter();
        let entry = |section: &EncodedSection| {
            let name = section.name;
            let key = self.root.sections.get(name).platform_key(name);
            (key, section.bytes.clone())
        };
        sections.map(entry).collect()
    }
}

/// Returns the keys of the stored sections to which `old` refers and `new` does not.
pub fn unreferenced_keys(old: &ConfigRoot, new: &ConfigRoot) -> Vec<String> {
    let kept = new.platform_keys();
    let mut keys = old.platform_keys();
    keys.retain(|key| !kept.contains(key));
    keys
}

/// Returns the distinct fleets that must confirm a version.
fn required_fleets(
    base: Option<&ConfigRoot>,
    fleet: &SectionRef,
    is_settled: bool,
) -> Result<Vec<SectionRef>, RefusalReason> {
    let mut fleets = match base {
        Some(root) if is_settled => vec![root.sections.fleet.clone()],
        Some(root) => root.fleets.clone(),
        None => Vec::new(),
    };
    if !fleets.iter().any(|known| known.digest == fleet.digest) {
        if fleets.len() >= MAX_UNCONFIRMED_FLEETS {
            return Err(RefusalReason::FleetUnsettled);
        }
        fleets.push(fleet.clone());
    }
    Ok(fleets)
}

fn refuse_section(error: &SectionError) -> RefusalReason {
    RefusalReason::Section(error.to_string())
}
