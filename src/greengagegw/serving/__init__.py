"""What an entry VM decides on each request of a changing fleet."""
