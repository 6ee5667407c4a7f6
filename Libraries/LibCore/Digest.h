#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace lycheeseam {

/// A SHA-256 digest. Callers' keys and request bodies are identified only by
/// their digests.
class digest
{
public:
  static constexpr std::size_t kBytes = 32;

  digest() = default;

  /// Computes the digest of a text.
  static digest Of(std::string_view aText);

  /// Parses 64 lower-case hexadecimal digits; throws invalid_input on anything
  /// else.
  static digest FromHex(std::string_view aHex);

  /// Returns the digest with these bytes.
  static digest FromBytes(
    std::span<std::uint8_t const, kBytes> aBytes) noexcept;

  /// The digest as 64 lower-case hexadecimal digits.
  [[nodiscard]] std::string Hex() const;

  /// The digest's bytes.
  [[nodiscard]] std::span<std::uint8_t const, kBytes> Bytes() const noexcept
  {
    return mBytes;
  }

  // "<" is rewritten to a comparison with 0, which the linter reports as a null
  // pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(digest const&) const = default;

private:
  std::array<std::uint8_t, kBytes> mBytes{};
};

}

template<>
struct std::hash<lycheeseam::digest>
{
  std::size_t operator()(lycheeseam::digest const& aDigest) const noexcept
  {
    std::size_t value = 0;
    std::memcpy(&value, aDigest.Bytes().data(), sizeof(value));
    return value;
  }
};
