"""Parse arguments of the binaries and hand over to commands."""
