//! Statement classification, member choice, retry budget and hedging.
