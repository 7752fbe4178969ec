"""Structured logging and OpenTelemetry metrics."""
