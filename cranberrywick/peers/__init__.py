"""The protocol between daemons."""
