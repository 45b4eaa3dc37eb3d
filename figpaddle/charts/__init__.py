"""State charts of life cycles, in YAML files, and their interpreter."""
