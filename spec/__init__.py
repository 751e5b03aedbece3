"""Small models of the protocols, checked exhaustively within their bounds."""
