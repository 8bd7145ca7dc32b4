"""Graceful stops."""
