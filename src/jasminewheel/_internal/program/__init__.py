"""Keep programs: their records, rules, calls and streams."""
