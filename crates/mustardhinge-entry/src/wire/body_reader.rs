use super::FrameError;

/// Checks the fields of a frame's body in order, without copying them.
#[derive(Debug)]
pub struct BodyReader<'a> {
    rest: &'a [u8],
}

impl<'a> BodyReader<'a> {
    /// Starts at the first field of a body.
    #[must_use]
    pub const fn new(body: &'a [u8]) -> Self {
        Self { rest: body }
    }

    /// Returns whether all bytes have been read.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }

    /// Reads a byte.
    ///
    /// # Errors
    ///
    /// Returns an error if the body ends before it.
    pub fn byte(&mut self) -> Result<u8, FrameError> {
        Ok(self.take(1)?[0])
    }

    /// Skips a field of a fixed size.
    ///
    /// # Errors
    ///
    /// Returns an error if the body ends within it.
    pub fn skip(&mut self, bytes: usize) -> Result<(), FrameError> {
        self.take(bytes).map(|_| ())
    }

    /// Skips a text and its terminating zero byte.
    ///
    /// # Errors
    ///
    /// Returns an error if the text isn't terminated.
    pub fn skip_text(&mut self) -> Result<(), FrameError> {
        let end = self.rest.iter().position(|byte| *byte == 0);
        let end = end.ok_or_else(|| FrameError::Malformed("a text has no end".to_owned()))?;
        self.skip(end + 1)
    }

    /// Skips the number of values and the values, each of `value_bytes` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the body ends before the last value.
    pub fn skip_list(&mut self, value_bytes: usize) -> Result<(), FrameError> {
        let count = self.count()?;
        self.skip(count * value_bytes)
    }

    /// Skips the number of values and the values, each of which states its length or
    /// is NULL.
    ///
    /// # Errors
    ///
    /// Returns an error if a length is invalid or the body ends before the last value.
    pub fn skip_values(&mut self) -> Result<(), FrameError> {
        for _ in 0..self.count()? {
            let mut length = [0; 4];
            length.copy_from_slice(self.take(4)?);
            match i32::from_be_bytes(length) {
                -1 => {}
                length => {
                    let length = usize::try_from(length).map_err(|_| {
                        FrameError::Malformed(format!("a value length of {length}"))
                    })?;
                    self.skip(length)?;
                }
            }
        }
        Ok(())
    }

    fn count(&mut self) -> Result<usize, FrameError> {
        let mut count = [0; 2];
        count.copy_from_slice(self.take(2)?);
        Ok(u16::from_be_bytes(count).into())
    }

    fn take(&mut self, bytes: usize) -> Result<&'a [u8], FrameError> {
        let truncated = || FrameError::Malformed("a frame ends within a field".to_owned());
        let (taken, rest) = self.rest.split_at_checked(bytes).ok_or_else(truncated)?;
        self.rest = rest;
        Ok(taken)
    }
}
