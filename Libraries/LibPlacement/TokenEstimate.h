#pragma once

#include <LibCore/Identifiers.h>

#include <cstddef>

namespace lycheeseam {

/// Bytes of prompt text per token, for estimates before an engine has counted
/// the tokens.
inline constexpr std::size_t kBytesPerToken = 4;

/// Tokens in one block of a prefix chain.
inline constexpr token_count kBlockTokens = 256;

/// Bytes of prompt text in one block of a prefix chain.
inline constexpr std::size_t kBlockBytes = kBlockTokens * kBytesPerToken;

/// Tokens in one piece, the unit in which the KV store keeps prompts.
inline constexpr token_count kPieceTokens = 16 * kBlockTokens;

/// Estimates the number of tokens in a text of aBytes bytes, rounded up.
constexpr token_count
EstimateTokens(std::size_t aBytes)
{
  return static_cast<token_count>((aBytes + kBytesPerToken - 1) /
                                  kBytesPerToken);
}

}
