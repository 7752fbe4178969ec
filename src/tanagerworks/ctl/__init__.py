"""Operator's tool."""
