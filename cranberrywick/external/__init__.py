"""Clients of the platform's services: key-value service, VM list, weight store."""
