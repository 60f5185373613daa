//! The end of a call's head, and the form of its line ends.

/// Position of the scan for line ends in the head of a call.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum HeadScan {
    InLine,
    /// After a carriage return within a line.
    CarriageReturn,
    LineStart,
    /// After a carriage return at the start of a line.
    LineStartCarriageReturn,
    /// The head is complete, or none has begun.
    Complete,
    /// A line feed without a carriage return.
    BareLineFeed,
}

impl HeadScan {
    pub(super) fn after(self, byte: u8) -> HeadScan {
        match (self, byte) {
            (HeadScan::Complete | HeadScan::BareLineFeed, _) => self,
            (HeadScan::LineStartCarriageReturn, b'\n') => HeadScan::Complete,
            (HeadScan::CarriageReturn, b'\n') => HeadScan::LineStart,
            (_, b'\n') => HeadScan::BareLineFeed,
            (HeadScan::LineStart, b'\r') => HeadScan::LineStartCarriageReturn,
            (_, b'\r') => HeadScan::CarriageReturn,
            _ => HeadScan::InLine,
        }
    }
}
