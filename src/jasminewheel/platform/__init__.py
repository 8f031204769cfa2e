"""Adapt the protocol of the users' platform to the product's own models.

Names of the platform's protocol are used only here. Some differ from the
product's: a service of the platform is a target, a server is a runner, and the
front is the entry.
"""
