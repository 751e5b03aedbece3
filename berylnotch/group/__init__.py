"""Controllers of a fleet that form, repair and move their group by themselves."""
