"""Declare the numbered log events, one module an area."""
