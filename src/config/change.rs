//! Changes: batches of writes, each stored as one record of the log.
//!
//! `Resource` is an internally tagged enum. Postcard cannot decode such enums,
//! because it is not a self-describing format, so a record contains the JSON of
//! each resource inside a postcard frame. The alternative, a second set of
//! types for the log, would be one more place where a field can be forgotten.

use bytes::Bytes;

use crate::config::resource::{Resource, ResourceKey};
use crate::error::CodecError;
use crate::ids::{AuthorName, ChangeId, Revision};

/// Format number in the first byte of a record; incremented when the format
/// changes.
pub const CHANGE_FORMAT: u8 = 1;

/// Maximum size of a record in bytes.
pub const MAX_CHANGE_BYTES: usize = 256 * 1024;

/// Maximum number of writes in a change.
pub const MAX_OPERATIONS: usize = 1024;

record! {
    /// The condition on a resource under which a write is applied, as in
    /// compare-and-set.
    #[serde(rename_all = "lowercase")]
    pub enum Precondition {
        /// Always true.
        Any,
        /// The resource does not exist.
        Absent,
        /// The resource was last written at this revision.
        At(Revision),
    }

    /// One write of a change.
    pub struct Operation {
        /// Key of the resource to write.
        pub key: ResourceKey,
        /// Condition under which the write is applied.
        pub expect: Precondition,
        /// The new value, or `None` to delete the resource.
        pub value: Option<Resource>,
    }

    /// A batch of writes that is accepted or rejected atomically.
    pub struct Change {
        /// Identifier, chosen at random by the writer.
        pub id: ChangeId,
        /// Who requested the change.
        pub author: AuthorName,
        /// The writes, in order.
        pub operations: Vec<Operation>,
    }

    struct EncodedOperation {
        key: ResourceKey,
        expect: Precondition,
        value: Option<Bytes>,
    }

    struct EncodedChange {
        id: ChangeId,
        author: AuthorName,
        operations: Vec<EncodedOperation>,
    }
}

impl Operation {
    /// Returns an operation that writes `value`.
    pub fn put(value: Resource, expect: Precondition) -> Self {
        Self {
            key: value.key(),
            expect,
            value: Some(value),
        }
    }

    /// Returns an operation that deletes the resource at `key`.
    pub fn delete(key: ResourceKey, expect: Precondition) -> Self {
        Self {
            key,
            expect,
            value: None,
        }
    }
}

impl Change {
    /// Encodes the change as a log record.
    pub fn encode(&self) -> Result<Bytes, CodecError> {
        let mut operations = Vec::with_capacity(self.operations.len());
        for operation in &self.operations {
            operations.push(EncodedOperation::try_from(operation)?);
        }
        let encoded = EncodedChange {
            id: self.id,
            author: self.author.clone(),
            operations,
        };
        let mut record = vec![CHANGE_FORMAT];
        let body = postcard::to_stdvec(&encoded).map_err(|_| CodecError::Malformed)?;
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
        let (encoded, trailing): (EncodedChange, _) =
            postcard::take_from_bytes(body).map_err(|_| CodecError::Malformed)?;
        if !trailing.is_empty() || encoded.operations.len() > MAX_OPERATIONS {
            return Err(CodecError::Malformed);
        }
        let mut operations = Vec::with_capacity(encoded.operations.len());
        for operation in encoded.operations {
            operations.push(Operation::try_from(operation)?);
        }
        Ok(Self {
            id: encoded.id,
            author: encoded.author,
            operations,
        })
    }
}

impl TryFrom<&Operation> for EncodedOperation {
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

impl TryFrom<EncodedOperation> for Operation {
    type Error = CodecError;

    fn try_from(encoded: EncodedOperation) -> Result<Self, CodecError> {
        let value = match encoded.value {
            Some(bytes) => Some(decode_resource(&bytes)?),
            None => None,
        };
        if value
            .as_ref()
            .is_some_and(|value| value.key() != encoded.key)
        {
            return Err(CodecError::Malformed);
        }
        Ok(Self {
            key: encoded.key,
            expect: encoded.expect,
            value,
        })
    }
}

/// Encodes a resource for use inside a log record.
pub fn encode_resource(resource: &Resource) -> Result<Bytes, CodecError> {
    serde_json::to_vec(resource)
        .map(Bytes::from)
        .map_err(|_| CodecError::Malformed)
}

/// Decodes a resource from inside a log record.
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
