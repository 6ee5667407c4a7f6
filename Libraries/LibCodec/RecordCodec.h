#pragma once

#include <LibRecords/LogRecord.h>

#include <string>
#include <string_view>

namespace lycheeseam {

/// The text of a record as it stands in the platform's log.
std::string
EncodeRecord(log_record const& aRecord);

/// Reads a record's text; throws codec_error.
log_record
DecodeRecord(std::string_view aText);

}
