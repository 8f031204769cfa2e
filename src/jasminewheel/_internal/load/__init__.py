"""Drive programs shaped like the deployments' and check their answers."""
