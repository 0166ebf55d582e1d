"""What travels with a call: identifiers, deadline, attempt budget and outcome."""
