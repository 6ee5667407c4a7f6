#include <LibCodec/Base64Serializer.h>
#include <LibCodec/JsonFault.h>
#include <LibCodec/ScalarSerializers.h>

#include <openssl/evp.h>

namespace lycheeseam {

namespace {

constexpr std::size_t kBytesPerGroup = 3;
constexpr std::size_t kDigitsPerGroup = 4;

unsigned char const*
Bytes(std::string const& aText)
{
  return reinterpret_cast<unsigned char const*>(aText.data());
}

unsigned char*
Bytes(std::string& aText)
{
  return reinterpret_cast<unsigned char*>(aText.data());
}

std::size_t
PaddingOf(std::string const& aDigits)
{
  if (aDigits.ends_with("=="))
    return 2;
  return aDigits.ends_with('=') ? 1 : 0;
}

}

std::string
base64_serializer::Read(nlohmann::json const& aJson, json_path const& aPath)
{
  std::string const digits = json_serializer<std::string>::Read(aJson, aPath);
  std::string bytes(digits.size() / kDigitsPerGroup * kBytesPerGroup, '\0');
  int const length = static_cast<int>(digits.size());
  int const decoded = EVP_DecodeBlock(Bytes(bytes), Bytes(digits), length);
  // The library skips white space at the ends, so the length is checked too.
  if (decoded < 0 || static_cast<std::size_t>(decoded) != bytes.size())
    throw JsonFault(aJson, aPath, "base64 is expected");
  bytes.resize(bytes.size() - PaddingOf(digits));
  return bytes;
}

nlohmann::json
base64_serializer::Write(std::string const& aBytes)
{
  std::size_t const groups =
    (aBytes.size() + kBytesPerGroup - 1) / kBytesPerGroup;
  // The library terminates its output with a zero byte.
  std::string digits(groups * kDigitsPerGroup + 1, '\0');
  int const length = static_cast<int>(aBytes.size());
  EVP_EncodeBlock(Bytes(digits), Bytes(aBytes), length);
  digits.resize(groups * kDigitsPerGroup);
  return digits;
}

}
