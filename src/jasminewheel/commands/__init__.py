"""Run what the binaries offer."""
