//! Common sets of derives, so that all types of a kind implement the same traits.

/// Derives the traits of plain data types: `Debug`, `Clone` and `PartialEq`.
#[macro_export]
macro_rules! data {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq)]
            $item
        )*
    };
}

/// Derives the traits of small values that serve as keys or states, which are also `Copy`.
#[macro_export]
macro_rules! value {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
            $item
        )*
    };
}

/// Derives the traits of data that is stored as JSON; deserialisation rejects unknown fields.
#[macro_export]
macro_rules! section {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
            #[serde(deny_unknown_fields)]
            $item
        )*
    };
}
