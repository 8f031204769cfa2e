"""Parse the arguments of the binaries and run their commands."""
