"""Know which members live, by leases and heartbeats."""
