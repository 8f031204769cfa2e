"""Validate, commit and spread the operators' configuration."""
