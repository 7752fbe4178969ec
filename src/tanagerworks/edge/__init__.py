"""The edge process: one per VM, between callers and backend servers, without local state."""
