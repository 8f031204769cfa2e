"""Speak HTTP/1.1 over trio streams, at the cost of a C parser."""
