"""Decisions of the gateway: pure modules without network, clock or log."""
