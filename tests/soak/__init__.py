"""Soak the real programs under random faults, and check what they promise."""
