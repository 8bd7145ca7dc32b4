"""Claims that let a call run at most once."""
