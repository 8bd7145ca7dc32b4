"""Adapter to the platform: header names, documents and HTTP calls."""
