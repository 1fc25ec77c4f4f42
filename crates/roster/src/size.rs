//! Encoded size of a value, computed without encoding it.
//!
//! The roster decides what goes into a datagram but does not encode it. This serializer counts the
//! bytes that the standard configuration of `bincode` writes: integers of variable length, a length
//! before each sequence and string, an index before each enum variant, and nothing around structs.

use std::fmt;

use serde::{Serialize, ser};

/// Largest value that the encoding writes as a single byte.
const SINGLE_BYTE_MAX: u128 = 250;

/// Returns the number of bytes that the standard configuration of `bincode` writes for a value.
///
/// Returns [`usize::MAX`] for values that cannot be encoded, so that callers that check the size
/// never send them.
#[must_use]
pub fn encoded_size<T>(value: &T) -> usize
where
    T: Serialize + ?Sized,
{
    let mut counter = SizeCounter { bytes: 0 };
    match value.serialize(&mut counter) {
        Ok(()) => counter.bytes,
        Err(SizeError) => usize::MAX,
    }
}

/// A value without a known encoded size, such as a sequence of unknown length.
#[derive(Debug, thiserror::Error)]
#[error("value has no known encoded size")]
struct SizeError;

impl ser::Error for SizeError {
    fn custom<T>(_: T) -> Self
    where
        T: fmt::Display,
    {
        Self
    }
}

struct SizeCounter {
    bytes: usize,
}

impl SizeCounter {
    fn fixed(&mut self, bytes: usize) {
        self.bytes += bytes;
    }

    fn unsigned(&mut self, value: u128) {
        self.bytes += match value {
            0..=SINGLE_BYTE_MAX => 1,
            _ if value <= u128::from(u16::MAX) => 3,
            _ if value <= u128::from(u32::MAX) => 5,
            _ if value <= u128::from(u64::MAX) => 9,
            _ => 17,
        };
    }

    fn signed(&mut self, value: i128) {
        let zigzag = (value << 1) ^ (value >> 127);
        self.unsigned(zigzag.unsigned_abs());
    }

    fn length(&mut self, length: usize) {
        self.unsigned(length as u128);
    }
}

macro_rules! count_integers {
    ($($method:ident: $type:ty => $count:ident,)+) => {
        $(fn $method(self, value: $type) -> Result<(), SizeError> {
            self.$count(value.into());
            Ok(())
        })+
    };
}

macro_rules! count_fixed {
    ($($method:ident: $type:ty => $bytes:literal,)+) => {
        $(fn $method(self, _: $type) -> Result<(), SizeError> {
            self.fixed($bytes);
            Ok(())
        })+
    };
}

impl ser::Serializer for &mut SizeCounter {
    type Ok = ();
    type Error = SizeError;
    type SerializeSeq = Self;
    type SerializeTuple = Self;
    type SerializeTupleStruct = Self;
    type SerializeTupleVariant = Self;
    type SerializeMap = Self;
    type SerializeStruct = Self;
    type SerializeStructVariant = Self;

    count_fixed! {
        serialize_bool: bool => 1,
        serialize_i8: i8 => 1,
        serialize_u8: u8 => 1,
        serialize_f32: f32 => 4,
        serialize_f64: f64 => 8,
    }

    count_integers! {
        serialize_i16: i16 => signed,
        serialize_i32: i32 => signed,
        serialize_i64: i64 => signed,
        serialize_u16: u16 => unsigned,
        serialize_u32: u32 => unsigned,
        serialize_u64: u64 => unsigned,
        serialize_u128: u128 => unsigned,
    }

    fn serialize_char(self, value: char) -> Result<(), SizeError> {
        self.fixed(value.len_utf8());
        Ok(())
    }

    fn serialize_str(self, value: &str) -> Result<(), SizeError> {
        self.serialize_bytes(value.as_bytes())
    }

    fn serialize_bytes(self, value: &[u8]) -> Result<(), SizeError> {
        self.length(value.len());
        self.fixed(value.len());
        Ok(())
    }

    fn serialize_none(self) -> Result<(), SizeError> {
        self.fixed(1);
        Ok(())
    }

    fn serialize_some<T>(self, value: &T) -> Result<(), SizeError>
    where
        T: Serialize + ?Sized,
    {
        self.fixed(1);
        value.serialize(self)
    }

    fn serialize_unit(self) -> Result<(), SizeError> {
        Ok(())
    }

    fn serialize_unit_struct(self, _: &'static str) -> Result<(), SizeError> {
        Ok(())
    }

    fn serialize_unit_variant(
        self,
        _: &'static str,
        index: u32,
        _: &'static str,
    ) -> Result<(), SizeError> {
        self.unsigned(index.into());
        Ok(())
    }

    fn serialize_newtype_struct<T>(self, _: &'static str, value: &T) -> Result<(), SizeError>
    where
        T: Serialize + ?Sized,
    {
        value.serialize(self)
    }

    fn serialize_newtype_variant<T>(
        self,
        _: &'static str,
        index: u32,
        _: &'static str,
        value: &T,
    ) -> Result<(), SizeError>
    where
        T: Serialize + ?Sized,
    {
        self.unsigned(index.into());
        value.serialize(self)
    }

    fn serialize_seq(self, length: Option<usize>) -> Result<Self, SizeError> {
        self.length(length.ok_or(SizeError)?);
        Ok(self)
    }

    fn serialize_tuple(self, _: usize) -> Result<Self, SizeError> {
        Ok(self)
    }

    fn serialize_tuple_struct(self, _: &'static str, _: usize) -> Result<Self, SizeError> {
        Ok(self)
    }

    fn serialize_tuple_variant(
        self,
        _: &'static str,
        index: u32,
        _: &'static str,
        _: usize,
    ) -> Result<Self, SizeError> {
        self.unsigned(index.into());
        Ok(self)
    }

    fn serialize_map(self, length: Option<usize>) -> Result<Self, SizeError> {
        self.serialize_seq(length)
    }

    fn serialize_struct(self, _: &'static str, _: usize) -> Result<Self, SizeError> {
        Ok(self)
    }

    fn serialize_struct_variant(
        self,
        _: &'static str,
        index: u32,
        _: &'static str,
        _: usize,
    ) -> Result<Self, SizeError> {
        self.unsigned(index.into());
        Ok(self)
    }

    fn is_human_readable(&self) -> bool {
        false
    }
}

macro_rules! count_elements {
    ($($trait:ident: $method:ident,)+) => {
        $(impl ser::$trait for &mut SizeCounter {
            type Ok = ();
            type Error = SizeError;

            fn $method<T>(&mut self, value: &T) -> Result<(), SizeError>
            where
                T: Serialize + ?Sized,
            {
                value.serialize(&mut **self)
            }

            fn end(self) -> Result<(), SizeError> {
                Ok(())
            }
        })+
    };
}

count_elements! {
    SerializeSeq: serialize_element,
    SerializeTuple: serialize_element,
    SerializeTupleStruct: serialize_field,
    SerializeTupleVariant: serialize_field,
}

macro_rules! count_fields {
    ($($trait:ident,)+) => {
        $(impl ser::$trait for &mut SizeCounter {
            type Ok = ();
            type Error = SizeError;

            fn serialize_field<T>(&mut self, _: &'static str, value: &T) -> Result<(), SizeError>
            where
                T: Serialize + ?Sized,
            {
                value.serialize(&mut **self)
            }

            fn end(self) -> Result<(), SizeError> {
                Ok(())
            }
        })+
    };
}

count_fields! {
    SerializeStruct,
    SerializeStructVariant,
}

impl ser::SerializeMap for &mut SizeCounter {
    type Ok = ();
    type Error = SizeError;

    fn serialize_key<T>(&mut self, key: &T) -> Result<(), SizeError>
    where
        T: Serialize + ?Sized,
    {
        key.serialize(&mut **self)
    }

    fn serialize_value<T>(&mut self, value: &T) -> Result<(), SizeError>
    where
        T: Serialize + ?Sized,
    {
        value.serialize(&mut **self)
    }

    fn end(self) -> Result<(), SizeError> {
        Ok(())
    }
}
