"""Wire the parts of an entry process together."""
