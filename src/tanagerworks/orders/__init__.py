"""Decides which orders engines need and which node sends them; has no I/O and no clock."""
