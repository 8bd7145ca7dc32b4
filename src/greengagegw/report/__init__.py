"""Reports on service levels."""
