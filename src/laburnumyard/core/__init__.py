"""Decision logic without I/O: events and the time in, effects out."""
