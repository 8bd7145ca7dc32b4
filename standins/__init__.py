"""Small stand-ins for the systems that the gateway meets."""
