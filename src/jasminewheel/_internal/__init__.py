"""Hold what no other project may import."""
