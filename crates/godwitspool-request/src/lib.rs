//! What lives for a request: admission, routing, limits, retries, quarantine and refusals.
