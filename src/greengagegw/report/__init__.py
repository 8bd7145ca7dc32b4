"""Reports on service levels and error budgets."""
