#include <LibHttp/FormatHead.h>

#include <array>
#include <charconv>

namespace lycheeseam {

namespace {

// Room for most heads, so that they need one allocation.
constexpr std::size_t kReservedHeadBytes = 512;

void
AppendFields(std::string& aText, std::vector<header_field> const& aFields)
{
  for (header_field const& field : aFields) {
    aText += field.mName;
    aText += ": ";
    aText += field.mValue;
    aText += "\r\n";
  }
  aText += "\r\n";
}

}

std::string
FormatRequestHead(request_head const& aHead)
{
  std::string text;
  text.reserve(kReservedHeadBytes);
  text += aHead.mMethod;
  text += ' ';
  text += aHead.mTarget;
  text += " HTTP/1.1\r\n";
  AppendFields(text, aHead.mFields);
  return text;
}

std::string
FormatAnswerHead(answer_head const& aHead)
{
  std::string text;
  text.reserve(kReservedHeadBytes);
  text += "HTTP/1.1 ";
  text += std::to_string(aHead.mStatus);
  text += ' ';
  text += aHead.mReason;
  text += "\r\n";
  AppendFields(text, aHead.mFields);
  return text;
}

std::string
FormatChunkLine(std::size_t aBytes)
{
  constexpr int kHexadecimalBase = 16;
  std::array<char, 2 * sizeof(aBytes)> digits{};
  auto const [end, fault] = std::to_chars(
    digits.data(), digits.data() + digits.size(), aBytes, kHexadecimalBase);
  return std::string{ digits.data(), end } + "\r\n";
}

}
