"""Enforces organisations' token allowances over the whole fleet."""
