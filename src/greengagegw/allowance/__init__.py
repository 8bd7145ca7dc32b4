"""Token allowances kept over the whole fleet."""
