"""Stand-ins of the second review: store, workers, requesters, machines.

Standard library only. They follow PROTOCOL.md and DEPLOY.md of the users.
"""
