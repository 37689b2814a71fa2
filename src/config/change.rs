//! A change: the batch of writes that one record of the log carries.
//!
//! `Resource` is tagged with its kind in JSON. Postcard cannot read internally
//! tagged enums, because it does not describe itself, so a record carries the
//! JSON of each resource inside a postcard frame. The other way, a second set
//! of types for the log, would be one more place to forget a field.

use bytes::Bytes;

use crate::config::resource::{Resource, ResourceKey};
use crate::error::CodecError;
use crate::ids::{AuthorName, ChangeId, Revision};

/// First byte of a record, raised when the format changes.
pub const CHANGE_FORMAT: u8 = 1;

/// Largest record in bytes.
pub const MAX_CHANGE_BYTES: usize = 256 * 1024;

/// Most writes in one change.
pub const MAX_OPERATIONS: usize = 1024;

record! {
    /// What a writer expects a resource to be before its write.
    #[serde(rename_all = "lowercase")]
    pub enum Precondition {
        /// Anything.
        Any,
        /// The resource does not exist.
        Absent,
        /// The resource was last written at this revision.
        At(Revision),
    }

    /// One write of a change.
    pub struct Operation {
        /// Resource that is written.
        pub key: ResourceKey,
        /// What the writer expects.
        pub expect: Precondition,
        /// The new value, or nothing to delete it.
        pub value: Option<Resource>,
    }

    /// A batch of writes that is accepted or rejected whole.
    pub struct Change {
        /// Chosen at random by the writer.
        pub id: ChangeId,
        /// Who asked for it.
        pub author: AuthorName,
        /// The writes, in order.
        pub operations: Vec<Operation>,
    }

    struct RawOperation {
        key: ResourceKey,
        expect: Precondition,
        value: Option<Bytes>,
    }

    struct RawChange {
        id: ChangeId,
        author: AuthorName,
        operations: Vec<RawOperation>,
    }
}

impl Operation {
    /// Returns a write of `value`.
    pub fn put(value: Resource, expect: Precondition) -> Self {
        Self {
            key: value.key(),
            expect,
            value: Some(value),
        }
    }

    /// Returns a delete of `key`.
    pub fn delete(key: ResourceKey, expect: Precondition) -> Self {
        Self {
            key,
            expect,
            value: None,
        }
    }
}

impl Change {
    /// Encodes the change as a record of the log.
    pub fn encode(&self) -> Result<Bytes, CodecError> {
        let mut operations = Vec::with_capacity(self.operations.len());
        for operation in &self.operations {
            operations.push(RawOperation::try_from(operation)?);
        }
        let raw = RawChange {
            id: self.id,
            author: self.author.clone(),
            operations,
        };
        let mut record = vec![CHANGE_FORMAT];
        let body = postcard::to_stdvec(&raw).map_err(|_| CodecError::Malformed)?;
        record.extend_from_slice(&body);
        check_size(record.len())?;
        Ok(Bytes::from(record))
    }
}

impl TryFrom<&[u8]> for Change {
    type Error = CodecError;

    fn try_from(record: &[u8]) -> Result<Self, CodecError> {
        check_size(record.len())?;
        let (format, body) = record.split_first().ok_or(CodecError::Malformed)?;
        if *format != CHANGE_FORMAT {
            return Err(CodecError::UnknownFormat(*format));
        }
        let (raw, rest): (RawChange, _) =
            postcard::take_from_bytes(body).map_err(|_| CodecError::Malformed)?;
        if !rest.is_empty() || raw.operations.len() > MAX_OPERATIONS {
            return Err(CodecError::Malformed);
        }
        let mut operations = Vec::with_capacity(raw.operations.len());
        for operation in raw.operations {
            operations.push(Operation::try_from(operation)?);
        }
        Ok(Self {
            id: raw.id,
            author: raw.author,
            operations,
        })
    }
}

impl TryFrom<&Operation> for RawOperation {
    type Error = CodecError;

    fn try_from(operation: &Operation) -> Result<Self, CodecError> {
        let value = match &operation.value {
            Some(resource) => Some(encode_resource(resource)?),
            None => None,
        };
        Ok(Self {
            key: operation.key.clone(),
            expect: operation.expect.clone(),
            value,
        })
    }
}

impl TryFrom<RawOperation> for Operation {
    type Error = CodecError;

    fn try_from(raw: RawOperation) -> Result<Self, CodecError> {
        let value = match raw.value {
            Some(bytes) => Some(decode_resource(&bytes)?),
            None => None,
        };
        if value.as_ref().is_some_and(|value| value.key() != raw.key) {
            return Err(CodecError::Malformed);
        }
        Ok(Self {
            key: raw.key,
            expect: raw.expect,
            value,
        })
    }
}

/// Encodes one resource for a record of the log.
pub fn encode_resource(resource: &Resource) -> Result<Bytes, CodecError> {
    serde_json::to_vec(resource)
        .map(Bytes::from)
        .map_err(|_| CodecError::Malformed)
}

/// Decodes one resource from a record of the log.
pub fn decode_resource(bytes: &[u8]) -> Result<Resource, CodecError> {
    serde_json::from_slice(bytes).map_err(|_| CodecError::Malformed)
}

fn check_size(length: usize) -> Result<(), CodecError> {
    if length > MAX_CHANGE_BYTES {
        return Err(CodecError::TooLarge {
            length,
            limit: MAX_CHANGE_BYTES,
        });
    }
    Ok(())
}
