//! What lives for a process: settings, timers, logs, metrics, membership and the log reader.
