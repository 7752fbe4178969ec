"""Group membership without I/O: node state, heartbeats, failure detection, peer selection."""
