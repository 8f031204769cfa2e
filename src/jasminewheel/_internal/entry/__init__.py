"""Assemble the components of an entry process."""
