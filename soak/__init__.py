"""A soak of the platform's programs as separate processes on loopback."""
