"""Benchmarks: figures from seeds, in virtual time or on loopback."""
