"""Translate between the users' platform and the product, and no more."""
