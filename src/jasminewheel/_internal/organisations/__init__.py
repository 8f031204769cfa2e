"""Tell organisations apart by their keys, and hold them to their rates."""
