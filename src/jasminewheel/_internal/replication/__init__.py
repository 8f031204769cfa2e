"""Own slots and replicate their logs to a majority of replicas."""
