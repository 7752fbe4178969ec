"""Pure membership decisions: node entries, incarnations, suspicion, peer selection."""
