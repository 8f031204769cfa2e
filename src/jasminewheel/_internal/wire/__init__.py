"""Encode messages between the product's processes."""
