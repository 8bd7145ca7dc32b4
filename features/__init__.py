"""Contract tests, one folder an interface."""
