//! Encoding of sections, and the document assembled from them.

use std::collections::BTreeMap;

use coriander_core::{ConfigDocument, ConfigVersion, FleetMember, InstanceId, KeyDigest};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::{ConfigRoot, SectionName, SectionRef, SectionRefs};

/// Maximum size of an encoded section. The platform refuses values over 1 MB (2^20 bytes); the rest
/// is reserved for the platform's own encoding.
pub const MAX_SECTION_BYTES: usize = 1_000_000;

/// Failure to encode or decode a section or a root.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SectionError {
    /// The section is too large for one value of the platform.
    #[error("section {name} would have {bytes} bytes; the platform's limit is {MAX_SECTION_BYTES}")]
    TooLarge {
        /// Section.
        name: SectionName,
        /// Encoded size.
        bytes: usize,
    },
    /// The content does not have the digest that the root lists.
    #[error("section {name} does not have the digest that the root lists")]
    DigestMismatch {
        /// Section.
        name: SectionName,
    },
    /// A section that the root refers to is missing.
    #[error("section {name} is missing")]
    Missing {
        /// Section.
        name: SectionName,
    },
    /// A delta does not start at the applied version.
    #[error("delta starts at version {from}, but version {applied} is applied")]
    BaseMismatch {
        /// Version at which the delta starts.
        from: ConfigVersion,
        /// Applied version.
        applied: ConfigVersion,
    },
    /// The value cannot be encoded.
    #[error("value cannot be encoded: {0}")]
    Encode(String),
    /// The value is malformed.
    #[error("value is malformed: {0}")]
    Decode(String),
}

/// A section in its stored form.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, Serialize)]
pub struct EncodedSection {
    /// Section.
    pub name: SectionName,
    /// JSON bytes.
    pub bytes: Vec<u8>,
}

/// Encodes one section of a document, or fails if it is too large for the platform.
pub fn encode_section(
    document: &ConfigDocument,
    name: SectionName,
) -> Result<Vec<u8>, SectionError> {
    let bytes = match name {
        SectionName::Classes => to_bytes(&document.classes),
        SectionName::Accounts => to_bytes(&document.accounts),
        SectionName::Keys => to_bytes(&document.keys),
        SectionName::Zones => to_bytes(&document.zones),
        SectionName::Databases => to_bytes(&document.databases),
        SectionName::Fleet => to_bytes(&document.fleet),
    }?;
    if bytes.len() > MAX_SECTION_BYTES {
        let bytes = bytes.len();
        return Err(SectionError::TooLarge { name, bytes });
    }
    Ok(bytes)
}

/// Replaces one section of a document after checking the digest.
pub fn decode_section(
    document: &mut ConfigDocument,
    section: &EncodedSection,
    expected: &SectionRef,
) -> Result<(), SectionError> {
    let name = section.name;
    check_digest(name, &section.bytes, expected)?;
    match name {
        SectionName::Classes => document.classes = from_bytes(&section.bytes)?,
        SectionName::Accounts => document.accounts = from_bytes(&section.bytes)?,
        SectionName::Keys => document.keys = from_bytes(&section.bytes)?,
        SectionName::Zones => document.zones = from_bytes(&section.bytes)?,
        SectionName::Databases => document.databases = from_bytes(&section.bytes)?,
        SectionName::Fleet => document.fleet = from_bytes(&section.bytes)?,
    }
    Ok(())
}

/// Decodes a stored fleet section after checking the digest.
pub fn decode_fleet(
    bytes: &[u8],
    expected: &SectionRef,
) -> Result<BTreeMap<InstanceId, FleetMember>, SectionError> {
    check_digest(SectionName::Fleet, bytes, expected)?;
    from_bytes(bytes)
}

/// Encodes the sections of a new version; unchanged sections keep their reference.
///
/// Returns the references and the sections that have to be stored.
pub fn encode_changes(
    base: Option<&SectionRefs>,
    document: &ConfigDocument,
) -> Result<(SectionRefs, Vec<EncodedSection>), SectionError> {
    let mut changed = Vec::new();
    let mut encode = |name| {
        let bytes = encode_section(document, name)?;
        let fresh = SectionRef::new(&bytes, &document.change_id);
        match base.map(|base| base.get(name)) {
            Some(kept) if kept.digest == fresh.digest => Ok(kept.clone()),
            _ => {
                changed.push(EncodedSection { name, bytes });
                Ok(fresh)
            }
        }
    };
    let refs = SectionRefs {
        classes: encode(SectionName::Classes)?,
        accounts: encode(SectionName::Accounts)?,
        keys: encode(SectionName::Keys)?,
        zones: encode(SectionName::Zones)?,
        databases: encode(SectionName::Databases)?,
        fleet: encode(SectionName::Fleet)?,
    };
    Ok((refs, changed))
}

/// Returns the sections of `root` that an instance with the sections `applied` must fetch.
pub fn sections_to_fetch(applied: Option<&SectionRefs>, root: &ConfigRoot) -> Vec<SectionName> {
    let differs = |name: &SectionName| {
        applied.is_none_or(|applied| applied.get(*name).digest != root.sections.get(*name).digest)
    };
    SectionName::ALL.into_iter().filter(differs).collect()
}

/// Assembles the document of `root` from the applied one and the fetched sections.
pub fn assemble_document(
    applied: Option<(&ConfigRoot, &ConfigDocument)>,
    root: &ConfigRoot,
    fetched: &[EncodedSection],
) -> Result<ConfigDocument, SectionError> {
    let mut document = applied.map_or_else(ConfigDocument::default, |(_, base)| base.clone());
    for name in sections_to_fetch(applied.map(|(root, _)| &root.sections), root) {
        let section = fetched.iter().find(|section| section.name == name);
        let section = section.ok_or(SectionError::Missing { name })?;
        decode_section(&mut document, section, root.sections.get(name))?;
    }
    document.version = root.version;
    document.author = root.author.clone();
    document.change_id = root.change_id.clone();
    document.fleet_version = root.fleet_version;
    Ok(document)
}

fn check_digest(
    name: SectionName,
    bytes: &[u8],
    expected: &SectionRef,
) -> Result<(), SectionError> {
    let digest: [u8; 32] = Sha256::digest(bytes).into();
    if KeyDigest::new(digest) == expected.digest {
        return Ok(());
    }
    Err(SectionError::DigestMismatch { name })
}

fn to_bytes<T: Serialize>(value: &T) -> Result<Vec<u8>, SectionError> {
    serde_json::to_vec(value).map_err(|error| SectionError::Encode(error.to_string()))
}

fn from_bytes<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, SectionError> {
    serde_json::from_slice(bytes).map_err(|error| SectionError::Decode(error.to_string()))
}
