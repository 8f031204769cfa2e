"""Join a process to the fleet: membership, configuration, replica sets."""
