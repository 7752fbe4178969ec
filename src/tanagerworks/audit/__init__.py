"""Hash-chained audit trail of changes."""
