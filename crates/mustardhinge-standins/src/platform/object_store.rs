use std::collections::BTreeMap;

use super::{ObjectUpdate, StoredObject};

/// All objects, by kind and name.
#[derive(Clone, Debug, Default)]
pub struct ObjectStore {
    revision: u64,
    objects: BTreeMap<(String, String), StoredObject>,
}

impl ObjectStore {
    /// Returns the number of the last change.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes the number of the next change.
    pub const fn take_revision(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    /// Returns one object.
    #[must_use]
    pub fn get(&self, kind: &str, name: &str) -> Option<&StoredObject> {
        self.objects.get(&(kind.to_owned(), name.to_owned()))
    }

    /// Returns the objects of a kind that changed after the revision `after`.
    #[must_use]
    pub fn changed_after(&self, kind: &str, after: u64) -> Vec<StoredObject> {
        let objects = self.objects.values();
        let changed = objects.filter(|object| object.kind == kind && object.version > after);
        changed.cloned().collect()
    }

    /// Carries out an update if the expected version is in force, and returns
    /// the new version.
    ///
    /// # Errors
    ///
    /// Returns the version and operation in force if they differ.
    pub fn update(
        &mut self,
        kind: &str,
        name: &str,
        update: ObjectUpdate,
    ) -> Result<u64, (u64, Option<String>)> {
        let current = self.get(kind, name);
        let version = current.map_or(0, |object| object.version);
        if version != update.expected_version {
            let operation_id = current.map(|object| object.operation_id.clone());
            return Err((version, operation_id));
        }
        let version = self.take_revision();
        let object = StoredObject {
            kind: kind.to_owned(),
            name: name.to_owned(),
            version,
            operation_id: update.operation_id,
            value: update.value,
        };
        self.objects
            .insert((kind.to_owned(), name.to_owned()), object);
        Ok(version)
    }
}
