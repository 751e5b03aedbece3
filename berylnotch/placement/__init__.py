"""Selection of a target by prefix affinity, load and expected cost."""
