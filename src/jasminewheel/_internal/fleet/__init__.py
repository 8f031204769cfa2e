"""Join a process to the fleet: members, configuration and replica sets."""
