"""Example: embed the ledger and grant books; two holders share a budget.

Run with `python examples/embed.py`.
"""

from galenaspoke import core
from galenaspoke.core import ledger


def main():
    """Draw and spend grants, return them and print the free tokens."""
    clock = core.Clock()
    page = core.Page()
    ledger.top_up(page, 'voucher-desk', ledger.TopUp('invoice-1', 500))
    books = {name: core.GrantBook(clock) for name in ('one', 'two')}
    for name, book in books.items():
        amount = ledger.draw(page, 'voucher-desk', name, need=100, want=200)
        book.record_grant('voucher-desk', amount)
        assert book.reserve('voucher-desk', 150)
        book.settle('voucher-desk', 150, spent=120)
    for name, book in books.items():
        balance = book.get_balance('voucher-desk')
        ledger.close_grant(
            page, 'voucher-desk', name, balance.spent, balance.doubt
        )
    ledger.check_invariants(page)
    print(page.entries['voucher-desk'].free_tokens(), 'tokens left of 500')


if __name__ == '__main__':
    main()
