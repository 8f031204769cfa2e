"""Clients and local copies of the platform's key-value store."""
