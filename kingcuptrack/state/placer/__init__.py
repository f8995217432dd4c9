"""State and decisions of the own interface's placer; imports no sibling folder."""
