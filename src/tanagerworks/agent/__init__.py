"""Node agent: reader of the platform, peer exchange, slot ledger, administration."""
