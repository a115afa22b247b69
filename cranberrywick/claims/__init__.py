"""Claims that let a call which must not be repeated run at most once."""
