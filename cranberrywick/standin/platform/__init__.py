"""Stand-ins with the interfaces of the platform's store and endpoints."""
