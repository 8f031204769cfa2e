"""Decide when and where each call runs."""
