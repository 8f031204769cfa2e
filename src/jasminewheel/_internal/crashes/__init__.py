"""Keep calls from runners that end under them."""
