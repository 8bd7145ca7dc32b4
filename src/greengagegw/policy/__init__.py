"""Policies for routing, retries and unresponsive peers, without I/O."""
