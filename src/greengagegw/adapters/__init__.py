"""Adapters: the ports carried out over sockets, HTTP and files."""
