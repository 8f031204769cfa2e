"""Keep finished turns and token budgets at a majority of disks.

A turn never changes once it is written and reservations only merge, so no
replica owns a conversation: whoever reaches a majority may read and write.
"""
