"""Store logs on one disk and serve them to the owners of slots."""
