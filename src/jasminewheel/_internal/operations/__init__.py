"""Carry out what operators ask for."""
