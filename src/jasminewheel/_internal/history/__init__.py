"""Keep logs on one disk and serve them to owners."""
