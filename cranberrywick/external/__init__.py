"""Ports and adapters for the platform: key-value service, VM list, weight store."""
