"""Clients for model engines and plain services, and the relay for their streams."""
