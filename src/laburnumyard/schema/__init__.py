"""Schemas of messages and settings, and the code generated from them."""
