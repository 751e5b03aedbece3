<<<<<<< HEAD
"""Measurements of berylnotch on small fakes."""
=======
"""Measurements of the system and of its parts."""
>>>>>>> part-e
