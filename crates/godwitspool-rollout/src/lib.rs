//! Steps, groups and samples of trainers: freshness, stragglers, shares and weight rollout.
