"""Checks what tenants consumed, and whose keys were taken.

- BUDGET: what a tenant's callers had got by some time, with the input that the
  requests stated which ran for them, is more than its `Prepaid` was at that
  time.
- KEY: a request with a key that no configuration had was run, or one with a
  key that was in force and never taken away was told 401.

Example::

    edge_budgets.check(findings, requests, runs, fleet.tenants)
"""

import time

from standins import platform_documents

RULES = ('BUDGET', 'KEY')


class Charge:
    """What a tenant had consumed at least with an attempt that ended."""

    __slots__ = ('at', 'tokens', 'attempt_id')

    def __init__(self, at, tokens, attempt_id):
        self.at = at
        self.tokens = tokens
        self.attempt_id = attempt_id


def check(findings, requests, runs, tenants):
    """Check all requests; return a line on what each tenant consumed."""
    for rule in RULES:
        findings.violations.setdefault(rule, [])
    charges = {tenant.name: [] for tenant in tenants.all}
    for req in requests:
        _check_keys(findings, req, runs, tenants)
        if req.tenant is not None:
            charges[req.tenant.name] += list_charges(req, runs)
    lines = []
    for name, found in charges.items():
        total = check_tenant(findings, name, found, tenants)
        prepaid = tenants.get_prepaid(name, time.time())
        lines.append(f'{name} had {total} tokens of {prepaid}')
    return lines


def check_tenant(findings, name, charges, tenants):
    """Check a tenant's charges in order; return what they add up to."""
    total = 0
    was_over = False
    for charge in sorted(charges, key=lambda charge: charge.at):
        total += charge.tokens
        prepaid = tenants.get_prepaid(name, charge.at)
        is_over = prepaid is not None and total > prepaid
        if is_over and not was_over:
            findings.add(
                'BUDGET',
                f'{name} had {total} tokens of {prepaid} at'
                f' {charge.at:.3f}, with {charge.attempt_id}',
            )
        was_over = is_over
    return total


def list_charges(req, runs):
    """Return the Charges of a request: its input once, and its output."""
    charges = []
    has_input = False
    for attempt in req.attempts:
        tokens = 0
        if not has_input and attempt.status == 200 and runs.get(attempt.id):
            has_input = True
            tokens += req.stated_input_tokens
        if req.kind == 'stream' and attempt.status == 200:
            tokens += attempt.count_tokens()
        charges.append(Charge(attempt.ended_at, tokens, attempt.id))
    return charges


def _check_keys(findings, req, runs, tenants):
    for attempt in req.attempts:
        if attempt.api_key is None:
            continue
        if attempt.api_key == platform_documents.UNKNOWN_KEY:
            if runs.get(attempt.id) or 200 <= attempt.status < 300:
                findings.add('KEY', f'{attempt.id} ran with an unknown key')
        elif attempt.status == 401 and tenants.is_in_force(
            attempt.api_key, attempt.sent_at
        ):
            findings.add('KEY', f'{attempt.id} got 401 with a known key')
