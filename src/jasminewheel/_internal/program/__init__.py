"""Host programs: their records, rules, calls and streams."""
