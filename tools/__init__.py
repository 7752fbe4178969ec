"""Development programs: demo launcher and measurements."""
