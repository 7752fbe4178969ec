"""Load generator: simulated callers that check every answer they get."""
