"""A demonstration of the whole path as separate processes."""
