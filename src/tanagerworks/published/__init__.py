"""The published store: operators' configuration and server entries as values, and a replica."""
