"""Controllers: the actors and threads that keep a daemon's state current."""
