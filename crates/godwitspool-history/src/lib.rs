//! Records what callers, trainers, targets and the platform observed, and checks the promises over it.
