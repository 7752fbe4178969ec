"""Pure routing decisions: no I/O, no clock, no global randomness."""
