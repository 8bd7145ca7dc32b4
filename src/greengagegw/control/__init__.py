"""Replication and distribution of the table and the API keys."""
