#pragma once

#include <random>
#include <string>

namespace lycheeseam {

/// Returns a text with a few random changes: bytes that are replaced, removed
/// or repeated, and tokens that decoders must not trust.
std::string
MutateBytes(std::string aText, std::minstd_rand& aRandom);

}
