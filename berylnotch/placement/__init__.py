"""Choice of a target by prefix affinity, load and cost."""
