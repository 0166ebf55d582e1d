"""Load generator, fault injection, scenarios and reports."""
