"""Track the live members of the fleet by leases and heartbeats."""
