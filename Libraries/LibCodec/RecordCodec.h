#pragma once

#include <LibRecords/LogRecord.h>

#include <string>
#include <string_view>

namespace lycheeseam {

/// Writes a record as the JSON text that the platform's log stores; throws
/// codec_error when a text in it is not UTF-8.
std::string
EncodeRecord(log_record const& aRecord);

/// Reads a record's text; throws codec_error.
log_record
DecodeRecord(std::string_view aText);

}
