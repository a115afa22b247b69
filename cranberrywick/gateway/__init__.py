"""The gateway: the daemon that passes HTTP requests on to registered endpoints."""
