"""The commands of ``cranberrywick``."""
