"""Decisions which run starts or stops where; may import ``jobs`` and ``cluster``."""
