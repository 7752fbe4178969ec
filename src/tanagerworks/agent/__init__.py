"""Node agent: platform client, peer exchange, slot ledger and administration port."""
