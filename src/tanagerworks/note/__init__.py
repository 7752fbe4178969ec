"""The release note: models, validation, deltas and the rule for accepting a serial."""
