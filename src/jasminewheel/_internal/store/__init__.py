"""Talk to the platform's key-value service."""
