"""The gateway: the daemon that forwards HTTP requests to registered endpoints."""
