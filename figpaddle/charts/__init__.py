"""State charts of life cycles, in YAML files, and their interpreter."""

from figpaddle.charts._life_cycle import LifeCycle, TransitionError

__all__ = ["LifeCycle", "TransitionError"]
