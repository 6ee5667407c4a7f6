#include <LibHttp/EventBoundary.h>

namespace lycheeseam {

std::size_t
event_boundary::Scan(std::string_view aBytes)
{
  std::size_t end = 0;
  for (std::size_t index = 0; index < aBytes.size(); ++index) {
    char const byte = aBytes[index];
    bool const isLineEnd = byte == '\n' || byte == '\r';
    bool const isSecondHalf = byte == '\n' && mIsAfterReturn;
    mIsAfterReturn = byte == '\r';
    // The second half of a line end belongs to what the first half ended.
    if (!isSecondHalf) {
      mIsAtEnd = isLineEnd && mIsLineEmpty;
      mIsLineEmpty = isLineEnd;
    }
    if (mIsAtEnd)
      end = index + 1;
  }
  return end;
}

}
