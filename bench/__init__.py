"""Measurements that print name=value lines."""
