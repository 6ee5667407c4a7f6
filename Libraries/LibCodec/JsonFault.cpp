#include <LibCodec/JsonFault.h>

namespace lycheeseam {

namespace {

/// The most bytes of a refused value that a message shows.
constexpr std::size_t kMaxShownBytes = 80;

}

codec_error
JsonFault(nlohmann::json const& aValue,
          json_path const& aPath,
          std::string_view aAllowed)
{
  using handler = nlohmann::json::error_handler_t;
  std::string shown = aValue.dump(-1, ' ', true, handler::replace);
  if (shown.size() > kMaxShownBytes)
    shown = shown.substr(0, kMaxShownBytes) + "...";
  return codec_error{ aPath.Text(), shown, aAllowed };
}

}
