"""Perform operators' requests."""
