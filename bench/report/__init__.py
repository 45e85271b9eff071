"""Report on the journal of bench runs, as tables and plots."""
