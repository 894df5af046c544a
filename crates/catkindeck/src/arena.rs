//! Storage addressed by small `Copy` keys.

use std::marker::PhantomData;

/// A key into a [`KeyArena`], usually a newtype around `u32` made by [`arena_key`](crate::arena_key).
pub trait ArenaKey: Copy {
    /// Makes the key of the slot at `index`.
    fn from_index(index: usize) -> Self;
    /// Returns the slot's index.
    fn index(self) -> usize;
}

/// Values that are never removed, addressed by the key returned on insertion.
///
/// Keys stand in for references, so that state machines can point at each other's parts without
/// lifetimes (`docs/design.md`, section 10).
#[derive(Debug, Clone)]
pub struct KeyArena<K, V> {
    values: Vec<V>,
    marker: PhantomData<K>,
}

impl<K: ArenaKey, V> KeyArena<K, V> {
    /// Makes an empty arena.
    pub fn new() -> Self {
        Self {
            values: Vec::new(),
            marker: PhantomData,
        }
    }

    /// Stores `value` and returns its key.
    pub fn insert(&mut self, value: V) -> K {
        self.values.push(value);
        K::from_index(self.values.len() - 1)
    }

    /// Returns the value of `key`, or `None` if the key is from a larger arena.
    pub fn get(&self, key: K) -> Option<&V> {
        self.values.get(key.index())
    }

    /// Returns the value of `key` for change, or `None` if the key is from a larger arena.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        self.values.get_mut(key.index())
    }

    /// Returns the number of values.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Tells whether the arena holds no value.
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

    /// Iterates over keys and values in order of insertion, for change.
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
