"""Validate, commit and synchronise the operators' configuration."""
