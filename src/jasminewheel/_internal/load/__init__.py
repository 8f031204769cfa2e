"""Generate load from workload descriptions and verify the answers."""
