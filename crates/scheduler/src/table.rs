//! Named entries that are known by a small number everywhere inside.
//!
//! Entries are never taken out, so a number handed out stays good for the
//! incarnation of the table. This is the one place where the view indexes by number.

use indexmap::{Equivalent, IndexMap};
use std::hash::Hash;
use std::ops::{Index, IndexMut};

/// Entries in the order in which their names were first met.
#[derive(Debug, Clone)]
pub(crate) struct Table<K, V> {
    entries: IndexMap<K, V>,
}

impl<K, V> Default for Table<K, V> {
    fn default() -> Self {
        Self {
            entries: IndexMap::new(),
        }
    }
}

impl<K: Hash + Eq + Clone, V: Default> Table<K, V> {
    /// Number of the entry, made with its default when the name is new.
    pub(crate) fn number(&mut self, name: &K) -> usize {
        if let Some(number) = self.find(name) {
            return number;
        }
        self.entries.insert_full(name.clone(), V::default()).0
    }

    /// Number of the entry, if the name was ever met.
    pub(crate) fn find<Q: Hash + Equivalent<K> + ?Sized>(&self, name: &Q) -> Option<usize> {
        self.entries.get_index_of(name)
    }

    /// Name of the entry.
    pub(crate) fn name(&self, number: usize) -> Option<&K> {
        self.entries.get_index(number).map(|(name, _)| name)
    }

    /// Number of entries.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Entries with their names, by number.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.entries.iter()
    }
}

impl<K, V> Index<usize> for Table<K, V> {
    type Output = V;
    fn index(&self, number: usize) -> &V {
        &self.entries[number]
    }
}

impl<K, V> IndexMut<usize> for Table<K, V> {
    fn index_mut(&mut self, number: usize) -> &mut V {
        &mut self.entries[number]
    }
}
