#include <Tests/Support/MutateBytes.h>

#include <array>
#include <string_view>

namespace lycheeseam {

namespace {

constexpr std::array<std::string_view, 12> kTokens{ "-1",
                                                    "18446744073709551615",
                                                    "9223372036854775808",
                                                    "1e999",
                                                    "null",
                                                    "{}",
                                                    "[[[[",
                                                    "\"\"",
                                                    ",",
                                                    ":",
                                                    "\0\0",
                                                    "\xff" };

}

std::string
MutateBytes(std::string aText, std::minstd_rand& aRandom)
{
  for (std::size_t changes = 1 + aRandom() % 3; changes > 0; --changes) {
    std::size_t const at = aRandom() % (aText.size() + 1);
    std::size_t const length = aRandom() % 8;
    switch (aRandom() % 4) {
      case 0:
        if (at < aText.size())
          aText[at] = static_cast<char>(aRandom());
        break;
      case 1:
        aText.erase(at, length);
        break;
      case 2:
        aText.insert(at, aText.substr(at, length));
        break;
      default:
        aText.replace(at, length, kTokens.at(aRandom() % kTokens.size()));
    }
  }
  return aText;
}

}
