//! The whole system and its stand-ins in one process, over real sockets.
