//! An append-only arena indexed by small `Copy` keys.

use std::marker::PhantomData;

/// A key into a [`KeyArena`], usually a newtype around `u32` declared with
/// [`arena_key`](crate::arena_key).
pub trait ArenaKey: Copy {
    /// Creates the key of the slot at `index`.
    fn from_index(index: usize) -> Self;
    fn index(self) -> usize;
}

/// An arena whose values are never removed and are addressed by the key returned on insertion.
///
/// Keys replace references, so that the parts of a state machine can point at each other without
/// lifetimes (`docs/design.md`, section 10).
#[derive(Debug, Clone)]
pub struct KeyArena<K, V> {
    values: Vec<V>,
    marker: PhantomData<K>,
}

impl<K: ArenaKey, V> KeyArena<K, V> {
    pub fn new() -> Self {
        Self {
            values: Vec::new(),
            marker: PhantomData,
        }
    }

    pub fn insert(&mut self, value: V) -> K {
        self.values.push(value);
        K::from_index(self.values.len() - 1)
    }

    /// Returns the value of `key`, or `None` if the key belongs to a larger arena.
    pub fn get(&self, key: K) -> Option<&V> {
        self.values.get(key.index())
    }

    /// Returns a mutable reference to the value of `key`, or `None` if the key belongs to a larger
    /// arena.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        self.values.get_mut(key.index())
    }

    pub fn len(&self) -> usize {
        self.values.len()
    }

    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// Iterates over keys and values in order of insertion.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.values
            .iter()
            .enumerate()
            .map(|(index, value)| (K::from_index(index), value))
    }

    /// Iterates over keys and mutable values in order of insertion.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        self.values
            .iter_mut()
            .enumerate()
            .map(|(index, value)| (K::from_index(index), value))
    }
}

impl<K: ArenaKey, V> Default for KeyArena<K, V> {
    fn default() -> Self {
        Self::new()
    }
}

/// Declares a `Copy` key type for use with [`KeyArena`].
#[macro_export]
macro_rules! arena_key {
    ($(#[$attribute:meta])* $name:ident) => {
        $(#[$attribute])*
        #[$crate::key]
        pub struct $name(pub u32);

        impl $crate::arena::ArenaKey for $name {
            fn from_index(index: usize) -> Self {
                Self(u32::try_from(index).expect("an arena holds fewer than 2^32 values"))
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}
