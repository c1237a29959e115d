//! Measurements of slopes and policies, one command a table.
