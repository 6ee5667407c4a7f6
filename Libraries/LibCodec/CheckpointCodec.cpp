#include <LibCodec/CheckpointCodec.h>
#include <LibCodec/ContainerSerializers.h>
#include <LibCodec/JsonText.h>
#include <LibCodec/ObjectSerializer.h>
#include <LibCodec/ScalarSerializers.h>

#include <tuple>

namespace lycheeseam {

template<>
struct json_fields<checkpoint_section>
{
  static constexpr std::tuple kFields{
    RequiredField("name", &checkpoint_section::mName),
    RequiredField("state", &checkpoint_section::mText),
  };
};

std::string
EncodeSections(std::span<checkpoint_section const> aSections)
{
  return ToJsonText(
    std::vector<checkpoint_section>{ aSections.begin(), aSections.end() });
}

std::vector<checkpoint_section>
DecodeSections(std::string_view aText)
{
  return FromJsonText<std::vector<checkpoint_section>>(aText);
}

}
