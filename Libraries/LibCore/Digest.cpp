#include <LibCore/Digest.h>
#include <LibCore/InvalidInput.h>

#include <openssl/sha.h>

#include <algorithm>

namespace lycheeseam {

namespace {

std::uint8_t
HexDigit(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9')
    return static_cast<std::uint8_t>(aDigit - '0');
  if (aDigit >= 'a' && aDigit <= 'f')
    return static_cast<std::uint8_t>(aDigit - 'a' + 10);
  throw invalid_input(
    "a digest must contain only lower-case hexadecimal digits");
}

}

digest
digest::Of(std::string_view aText)
{
  digest result;
  SHA256(reinterpret_cast<unsigned char const*>(aText.data()),
         aText.size(),
         result.mBytes.data());
  return result;
}

digest
digest::FromHex(std::string_view aHex)
{
  if (aHex.size() != 2 * kBytes)
    throw invalid_input("a digest must have 64 hexadecimal digits");
  digest result;
  for (std::size_t i = 0; i < kBytes; ++i) {
    std::uint8_t const high = HexDigit(aHex[2 * i]);
    std::uint8_t const low = HexDigit(aHex[2 * i + 1]);
    result.mBytes[i] = static_cast<std::uint8_t>(high << 4 | low);
  }
  return result;
}

digest
digest::FromBytes(std::span<std::uint8_t const, kBytes> aBytes) noexcept
{
  digest result;
  std::copy(aBytes.begin(), aBytes.end(), result.mBytes.begin());
  return result;
}

std::string
digest::Hex() const
{
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(2 * kBytes);
  for (std::uint8_t const byte : mBytes) {
    text.push_back(kDigits[byte >> 4]);
    text.push_back(kDigits[byte & 0xf]);
  }
  return text;
}

}
