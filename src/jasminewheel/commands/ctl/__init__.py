"""Implement the commands of jasminewheelctl."""
