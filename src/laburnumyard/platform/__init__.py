"""Clients of the platform: store, VM list and targets."""
