"""Stand-ins that speak the users' platform: its store and its endpoints."""
