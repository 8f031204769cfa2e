"""Work out what each role needs at the size of two years from now."""
