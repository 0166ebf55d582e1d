"""The fleet configuration: validation, distribution and the policy in force."""
