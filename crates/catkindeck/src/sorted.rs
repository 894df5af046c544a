//! A map stored as a sorted vector.

use serde::{Deserialize, Serialize};

/// A map backed by a vector that is sorted by key and searched by bisection.
///
/// The tables of this system hold tens to a few thousand entries and are read far more often than
/// written. A sorted vector is compact and iterates in a fixed order, so decisions are the same on
/// every run (`docs/design.md`, section 10).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SortedMap<K, V> {
    entries: Vec<(K, V)>,
}

impl<K: Ord, V> SortedMap<K, V> {
    pub fn new() -> Self {
        Self {
            entries: Vec::new(),
        }
    }

    pub fn get(&self, key: &K) -> Option<&V> {
        let index = self.position(key).ok()?;
        Some(&self.entries[index].1)
    }

    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        let index = self.position(key).ok()?;
        Some(&mut self.entries[index].1)
    }

    pub fn contains_key(&self, key: &K) -> bool {
        self.position(key).is_ok()
    }

    /// Stores `value` under `key` and returns the previous value.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.position(&key) {
            Ok(index) => Some(std::mem::replace(&mut self.entries[index].1, value)),
            Err(index) => {
                self.entries.insert(index, (key, value));
                None
            }
        }
    }

    /// Returns the value of `key`, first storing `default()` if there is none.
    pub fn get_or_insert_with(&mut self, key: K, default: impl FnOnce() -> V) -> &mut V {
        let index = match self.position(&key) {
            Ok(index) => index,
            Err(index) => {
                self.entries.insert(index, (key, default()));
                index
            }
        };
        &mut self.entries[index].1
    }

    /// Removes `key` and returns its value.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let index = self.position(key).ok()?;
        Some(self.entries.remove(index).1)
    }

    /// Keeps only the entries for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.entries.retain_mut(|(key, value)| keep(key, value));
    }

    pub fn clear(&mut self) {
        self.entries.clear();
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Iterates in ascending order of keys.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&K, &V)> + ExactSizeIterator {
        self.entries.iter().map(|(key, value)| (key, value))
    }

    /// Iterates over mutable values in ascending order of keys.
    pub fn iter_mut(&mut self) -> impl DoubleEndedIterator<Item = (&K, &mut V)> {
        self.entries.iter_mut().map(|(key, value)| (&*key, value))
    }

    /// Iterates over the keys in ascending order.
    pub fn keys(&self) -> impl DoubleEndedIterator<Item = &K> {
        self.entries.iter().map(|(key, _)| key)
    }

    /// Iterates over the values in ascending order of keys.
    pub fn values(&self) -> impl DoubleEndedIterator<Item = &V> {
        self.entries.iter().map(|(_, value)| value)
    }

    fn position(&self, key: &K) -> Result<usize, usize> {
        self.entries.binary_search_by(|(other, _)| other.cmp(key))
    }
}

impl<K: Ord, V> Default for SortedMap<K, V> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K: Ord, V> FromIterator<(K, V)> for SortedMap<K, V> {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(entries: I) -> Self {
        let mut map = Self::new();
        for (key, value) in entries {
            map.insert(key, value);
        }
        map
    }
}
