use slotmap::new_key_type;

new_key_type! {
    /// Identifies a write or read that waits for a majority.
    pub struct AckKey;
}
