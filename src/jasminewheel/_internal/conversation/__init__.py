"""Store finished turns and token budgets on a majority of disks.

Turns are immutable and reservations only merge, so conversations need no
leader: any process that reaches a majority may read and write.
"""
