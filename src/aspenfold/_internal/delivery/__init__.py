"""Assembly of answers, so that a damaged answer is detected."""
