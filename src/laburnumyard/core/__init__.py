"""Pure decisions: each takes an event and the time, and returns effects."""
