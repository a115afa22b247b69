"""The operators' configuration document and the daemon's own settings."""
