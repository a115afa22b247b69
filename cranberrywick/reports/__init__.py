"""Reports for operators: error budgets, losses and latency."""
