"""Own slots and keep their logs at a majority of replicas."""
