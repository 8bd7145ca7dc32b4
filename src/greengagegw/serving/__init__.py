"""Request admission, routing and execution on an entry VM."""
