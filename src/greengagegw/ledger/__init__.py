"""Replicated claims by which a call runs at most once."""
