"""Requests under load: a seeded model in virtual time."""
