use std::sync::Arc;

use super::ItemResult;

/// The results of a batch by position. Those for which there is no memory are in the store only.
///
/// ```
/// use std::sync::Arc;
///
/// use godwitspool_host::batch::ResultList;
///
/// let mut results = ResultList::default();
/// results.push(Arc::default());
/// results.push_stored();
/// assert_eq!(results.len(), 2);
/// assert_eq!(results.kept_from(0).count(), 1);
/// assert_eq!(results.kept_from(1).count(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ResultList {
    rows: Vec<Option<Arc<ItemResult>>>,
}

impl ResultList {
    /// Bytes of a kept result besides its output: the allocations of the result and its parts.
    const RESULT_BYTES: usize = 192;

    /// Returns the bytes that a result takes while it is kept.
    pub fn memory_of(result: &ItemResult) -> usize {
        Self::RESULT_BYTES + result.output.len()
    }

    /// Adds a result that is kept.
    pub fn push(&mut self, result: Arc<ItemResult>) {
        self.rows.push(Some(result));
    }

    /// Adds a result that is in the store only.
    pub fn push_stored(&mut self) {
        self.rows.push(None);
    }

    /// Removes all results.
    pub fn clear(&mut self) {
        self.rows.clear();
    }

    /// Returns the number of results.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there is no result.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the results from a position on, up to the first one that isn't kept.
    pub fn kept_from(&self, position: usize) -> impl Iterator<Item = &Arc<ItemResult>> {
        self.rows.iter().skip(position).map_while(Option::as_ref)
    }

    /// Returns all results if they are kept.
    pub fn all_kept(&self) -> Option<Vec<Arc<ItemResult>>> {
        self.rows.iter().cloned().collect()
    }
}

impl From<Vec<Arc<ItemResult>>> for ResultList {
    fn from(results: Vec<Arc<ItemResult>>) -> Self {
        Self {
            rows: results.into_iter().map(Some).collect(),
        }
    }
}
