"""Schedule agent programs: in order, at most once, within budget."""
