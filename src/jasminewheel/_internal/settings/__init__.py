"""Read settings files and report what is wrong with them."""
