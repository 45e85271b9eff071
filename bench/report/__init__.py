"""Tables and plots of the journal of bench runs."""
