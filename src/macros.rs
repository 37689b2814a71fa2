//! Macros for the derives and newtypes that are used throughout the crate.
//!
//! A derive macro would need a crate of its own, which costs extra build time
//! for what a few `macro_rules` do.

/// Derives the traits of a plain value that is sent between nodes for each item.
macro_rules! record {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
            $item
        )*
    };
}

/// Defines newtypes of numbers that are displayed and parsed as the number.
macro_rules! number_type {
    ($($(#[$meta:meta])* $name:ident($inner:ty);)*) => {
        $(
            $(#[$meta])*
            #[derive(
                Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
                serde::Serialize, serde::Deserialize,
            )]
            #[serde(transparent)]
            pub struct $name(pub $inner);

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    self.0.fmt(f)
                }
            }

            impl std::str::FromStr for $name {
                type Err = std::num::ParseIntError;

                fn from_str(text: &str) -> Result<Self, Self::Err> {
                    text.parse().map(Self)
                }
            }
        )*
    };
}

/// Defines 128-bit identifiers that are displayed as 32 hexadecimal digits.
macro_rules! hex_type {
    ($($(#[$meta:meta])* $name:ident;)*) => {
        $(
            $(#[$meta])*
            #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
            pub struct $name(pub u128);

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    write!(f, "{:032x}", self.0)
                }
            }

            impl std::str::FromStr for $name {
                type Err = std::num::ParseIntError;

                fn from_str(text: &str) -> Result<Self, Self::Err> {
                    u128::from_str_radix(text, 16).map(Self)
                }
            }

            impl serde::Serialize for $name {
                fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
                where
                    S: serde::Serializer,
                {
                    if serializer.is_human_readable() {
                        serializer.collect_str(self)
                    } else {
                        serializer.serialize_bytes(&self.0.to_be_bytes())
                    }
                }
            }

            impl<'de> serde::Deserialize<'de> for $name {
                fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
                where
                    D: serde::Deserializer<'de>,
                {
                    if deserializer.is_human_readable() {
                        let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
                        text.parse().map_err(serde::de::Error::custom)
                    } else {
                        let bytes = <bytes::Bytes>::deserialize(deserializer)?;
                        let array: [u8; 16] = bytes
                            .as_ref()
                            .try_into()
                            .map_err(|_| serde::de::Error::custom("identifier is not 16 bytes"))?;
                        Ok(Self(u128::from_be_bytes(array)))
                    }
                }
            }
        )*
    };
}

/// Defines newtypes of names that are checked on creation and stored as bytes.
macro_rules! name_type {
    ($($(#[$meta:meta])* $name:ident, $check:path;)*) => {
        $(
            $(#[$meta])*
            #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
            pub struct $name(bytes::Bytes);

            impl $name {
                /// Returns the name as a string slice.
                pub fn as_str(&self) -> &str {
                    std::str::from_utf8(&self.0).unwrap_or_default()
                }
            }

            impl TryFrom<bytes::Bytes> for $name {
                type Error = $crate::error::NameError;

                fn try_from(raw: bytes::Bytes) -> Result<Self, Self::Error> {
                    $check(&raw)?;
                    Ok(Self(raw))
                }
            }

            impl std::str::FromStr for $name {
                type Err = $crate::error::NameError;

                fn from_str(text: &str) -> Result<Self, Self::Err> {
                    Self::try_from(bytes::Bytes::copy_from_slice(text.as_bytes()))
                }
            }

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    f.write_str(self.as_str())
                }
            }

            impl std::fmt::Debug for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    write!(f, "{:?}", self.as_str())
                }
            }

            impl serde::Serialize for $name {
                fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
                where
                    S: serde::Serializer,
                {
                    serializer.serialize_str(self.as_str())
                }
            }

            impl<'de> serde::Deserialize<'de> for $name {
                fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
                where
                    D: serde::Deserializer<'de>,
                {
                    let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
                    text.parse().map_err(serde::de::Error::custom)
                }
            }
        )*
    };
}
