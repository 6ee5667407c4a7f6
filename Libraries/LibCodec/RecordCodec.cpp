#include <LibCodec/JsonText.h>
#include <LibCodec/RecordCodec.h>
#include <LibCodec/RecordSerializers.h>

namespace lycheeseam {

std::string
EncodeRecord(log_record const& aRecord)
{
  return ToJsonText(aRecord);
}

log_record
DecodeRecord(std::string_view aText)
{
  return FromJsonText<log_record>(aText);
}

}
