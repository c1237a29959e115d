/// Splits the bytes of an event stream into events, in time linear in the number of bytes.
///
/// ```
/// use godwitspool_host::batch::EventBuffer;
///
/// let mut buffer = EventBuffer::default();
/// buffer.push(b"\n\nid: 1\ndata: a\n\nid: 2");
/// assert_eq!(buffer.next_event(), Some(&b"id: 1\ndata: a"[..]));
/// assert_eq!(buffer.next_event(), None);
/// assert!(!buffer.is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    bytes: Vec<u8>,
    /// Index after the last event that was returned.
    start: usize,
    /// Index up to which no end of an event was found.
    searched: usize,
    /// Number of bytes taken since the last call of [`Self::accept`].
    skipped: usize,
}

impl EventBuffer {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.start);
        self.searched -= self.start;
        self.start = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the lines of the next complete event. Empty lines between events are skipped.
    pub fn next_event(&mut self) -> Option<&[u8]> {
        let rest = &self.bytes[self.start..];
        let blank = rest.iter().take_while(|byte| **byte == b'\n').count();
        self.start += blank;
        self.skipped += blank;
        self.searched = self.searched.max(self.start);
        let unsearched = &self.bytes[self.searched..];
        let Some(end) = unsearched.windows(2).position(|pair| pair == b"\n\n") else {
            // The last byte may begin the end of the event.
            self.searched = self.searched.max(self.bytes.len().saturating_sub(1));
            return None;
        };
        let event = self.start..self.searched + end;
        self.start = event.end + 2;
        self.searched = self.start;
        self.skipped += event.len() + 2;
        Some(&self.bytes[event])
    }

    /// Notes that the last event was a valid one.
    pub fn accept(&mut self) {
        self.skipped = 0;
    }

    /// Returns the number of bytes that were taken behind the last valid event.
    pub fn skipped(&self) -> usize {
        self.skipped
    }

    /// Returns the number of bytes that are left.
    pub fn pending(&self) -> usize {
        self.bytes.len() - self.start
    }

    /// Returns whether no part of an event is left.
    pub fn is_empty(&self) -> bool {
        self.pending() == 0
    }
}
