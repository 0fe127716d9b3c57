"""What control costs a daemon, against the size of the fleet."""
