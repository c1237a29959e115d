//! The entry daemon: callers, trainers, routing, streams and rollouts.
