"""Read settings files and report invalid fields."""
