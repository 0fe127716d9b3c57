"""The anyio shell that feeds events to the core and runs its effects."""
