"""Development scripts; none is needed to build or run the product."""
