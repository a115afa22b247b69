"""Stand-ins for external systems, for tests and demonstrations."""
