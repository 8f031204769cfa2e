"""Carry thrift messages over authenticated trio streams."""
