"""Implement HTTP/1.1 over trio streams, with a parser written in C."""
