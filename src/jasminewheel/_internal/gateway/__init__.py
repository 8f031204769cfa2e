"""Route callers' requests to runners of targets and stream the answers."""
