//! Labels on targets and pools, and the selectors that match them.

use std::collections::BTreeMap;

/// Labels of one object: name to value.
pub type Labels = BTreeMap<String, String>;

/// Selector: every named label must have the stated value.
///
/// An empty selector matches everything.
pub type Selector = BTreeMap<String, String>;

/// Returns whether `labels` match every entry of `selector`.
pub fn matches(selector: &Selector, labels: &Labels) -> bool {
    selector.iter().all(|(name, value)| labels.get(name) == Some(value))
}
