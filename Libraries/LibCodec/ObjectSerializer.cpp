#include <LibCodec/ObjectSerializer.h>

namespace lycheeseam {

void
CheckObject(nlohmann::json const& aJson,
            json_path const& aPath,
            std::span<std::string_view const> aFieldNames)
{
  if (!aJson.is_object())
    throw JsonFault(aJson, aPath, "an object is expected");
  for (auto const& [name, value] : aJson.items()) {
    if (std::ranges::find(aFieldNames, name) != aFieldNames.end())
      continue;
    std::string allowed = "the field is unknown; known are:";
    for (std::string_view const known : aFieldNames)
      allowed += " " + std::string{ known };
    throw JsonFault(value, aPath.Field(name), allowed);
  }
}

void
ThrowMissingField(json_path const& aPath)
{
  throw codec_error{ aPath.Text(), "nothing", "the field must be given" };
}

}
