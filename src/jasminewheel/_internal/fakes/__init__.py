"""Stand in for the platform and the targets in tests and demonstrations."""
