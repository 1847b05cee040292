"""What entries and agents share: peers, membership, documents, hosts."""
