"""Define the data types of the product, without I/O."""
