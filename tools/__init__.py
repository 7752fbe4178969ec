"""Development programs: demo, soak and measurements."""
