"""Stand-ins for the systems around the product; not in the binary."""
