"""Decisions on routing, admission and retries, as plain functions."""
