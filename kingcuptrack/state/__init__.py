"""Pure scheduling state and decisions: no I/O, times are arguments.

``jobs`` imports no other folder, ``cluster`` may import ``jobs``, ``planning`` both.
``placer`` serves the own interface only and imports none of the three.
"""
