//! The steward daemon: leases, target orders, usage windows, weight rollout and configuration snapshots.
