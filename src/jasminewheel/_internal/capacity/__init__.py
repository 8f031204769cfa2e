"""Estimate the resources of each role at the target size.

The target size is that expected in two years.
"""
