"""Fake platform services and targets for tests and demonstrations."""
