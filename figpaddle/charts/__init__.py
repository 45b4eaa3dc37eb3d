"""Life cycles as state charts in JSON files, and the class that runs them."""

from figpaddle.charts._life_cycle import LifeCycle, TransitionError

__all__ = ["LifeCycle", "TransitionError"]
