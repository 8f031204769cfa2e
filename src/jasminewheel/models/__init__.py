"""Hold the product's data, free of I/O."""
