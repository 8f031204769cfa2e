"""Hold the types made by scripts/generate."""
