#pragma once

#include <LibCore/InvalidInput.h>

#include <string>
#include <string_view>

namespace lycheeseam {

/// Thrown for JSON text that can't be read as the expected type. The message
/// names the JSON path, the value found there and what is allowed.
class codec_error : public invalid_input
{
public:
  codec_error(std::string aPath,
              std::string_view aValue,
              std::string_view aAllowed)
    : invalid_input(aPath + ": " + std::string{ aValue } + " is refused; " +
                    std::string{ aAllowed })
    , mPath(std::move(aPath))
  {
  }

  /// The JSON path of the refused value, such as "$.pools[0].name".
  [[nodiscard]] std::string const& Path() const noexcept { return mPath; }

private:
  std::string mPath;
};

}
