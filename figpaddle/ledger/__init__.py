"""Outcome of each non-idempotent request."""
