//! Weighted draw of a few candidates by a request's random number.

use crate::target_table::TargetState;

/// Candidates that one draw holds.
const DRAWN: usize = 3;

/// A candidate with its place in the draw.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Drawn<'b> {
    pub(crate) place: f64,
    pub(crate) known: &'b TargetState,
}

/// The first few candidates in the order of the draw.
#[derive(Debug, Default)]
pub(crate) struct Draw<'b> {
    drawn: [Option<Drawn<'b>>; DRAWN],
}

impl<'b> Draw<'b> {
    pub(crate) fn offer(&mut self, mut next: Drawn<'b>) {
        for held in &mut self.drawn {
            match held {
                None => {
                    *held = Some(next);
                    return;
                }
                Some(other) if next.place < other.place => std::mem::swap(other, &mut next),
                Some(_) => {}
            }
        }
    }

    /// Returns whether a candidate at `place` or behind it is not drawn any more.
    pub(crate) fn beyond(&self, place: f64) -> bool {
        self.drawn[DRAWN - 1].is_some_and(|last| place > last.place)
    }

    pub(crate) fn known(&self) -> impl Iterator<Item = &'b TargetState> {
        self.drawn.iter().flatten().map(|d| d.known)
    }
}

/// Returns the place in a draw: the least are taken, the heavier the likelier.
pub(crate) fn place(random: u64, weight: f64) -> f64 {
    random as f64 / weight
}

/// Mixes the bits of a number well (the finalizer of `SplitMix64`).
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
