#include <LibCodec/ConfigFileCodec.h>
#include <LibCodec/ConfigFileSerializer.h>
#include <LibCodec/JsonText.h>

namespace lycheeseam {

std::string
EncodeConfigFile(config_file const& aFile)
{
  return ToJsonText(aFile);
}

config_file
DecodeConfigFile(std::string_view aText)
{
  return FromJsonText<config_file>(aText);
}

}
