// Placeholder translation unit, replaced by the first real one.
