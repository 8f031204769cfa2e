"""Keep callers within their budgets."""
