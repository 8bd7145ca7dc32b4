"""Speaks with the Guild's platform: names, formats and calls, no decisions."""
