use slotmap::new_key_type;

new_key_type! {
    /// Names one write that waits for its acknowledgement.
    pub struct AckKey;
}
