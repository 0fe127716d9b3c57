"""Links between daemons and the codec of their messages."""
