"""Implement the commands of the binaries."""
