//! Small stand-ins for what the system meets: engines, plain services and the platform.
