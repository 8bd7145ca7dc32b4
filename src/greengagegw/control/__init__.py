"""The table and the keys, replicated and distributed."""
