"""Orders to engines: which are needed, and which node sends them. No I/O, no clock."""
